package org.whinwharf.bench.history;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinwharf.standin.record.CallRecord;
import org.whinwharf.standin.record.EngineRecord;

/** Reads and writes histories: attempts as JSON lines, records of targets and withdrawals as JSON arrays. */
public final class HistoryFiles {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().addModule(new Jdk8Module()).build();

    private HistoryFiles() {}

    /**
     * Writes one attempt as a line.
     *
     * @param entry the attempt
     * @return JSON text without line breaks
     * @throws IOException when it cannot be written as JSON
     */
    public static String line(HistoryEntry entry) throws IOException {
        return MAPPER.writeValueAsString(entry);
    }

    /**
     * Reads attempts.
     *
     * @param file file of JSON lines
     * @return attempts in the order of the file
     * @throws IOException when the file cannot be read or a line is not an attempt
     */
    public static List<HistoryEntry> readEntries(Path file) throws IOException {
        List<HistoryEntry> entries = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            entries.add(MAPPER.readValue(line, HistoryEntry.class));
        }
        return entries;
    }

    /**
     * Reads records of targets.
     *
     * @param file file of a JSON array
     * @return the records
     * @throws IOException when the file cannot be read or holds something else
     */
    public static List<TargetHistory> readTargets(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), new TypeReference<List<TargetHistory>>() {});
    }

    /**
     * Writes records of targets.
     *
     * @param file file that is made or replaced
     * @param targets the records
     * @throws IOException when the file cannot be written
     */
    public static void writeTargets(Path file, List<TargetHistory> targets) throws IOException {
        MAPPER.writeValue(file.toFile(), targets);
    }

    /**
     * Reads withdrawals.
     *
     * @param file file of a JSON array
     * @return the withdrawals
     * @throws IOException when the file cannot be read or holds something else
     */
    public static List<Withdrawal> readWithdrawals(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), new TypeReference<List<Withdrawal>>() {});
    }

    /** Reads the record of one target: an object from an engine, an array from a plain service. */
    static TargetHistory target(String name, String dataCentre, String json) throws IOException {
        if (json.startsWith("[")) {
            List<CallRecord> calls = MAPPER.readValue(json, new TypeReference<List<CallRecord>>() {});
            return new TargetHistory(name, dataCentre, Optional.empty(), calls);
        }
        EngineRecord engine = MAPPER.readValue(json, EngineRecord.class);
        return new TargetHistory(name, dataCentre, Optional.of(engine), List.of());
    }
}
