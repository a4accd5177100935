package org.whinwharf.schema;

import com.google.protobuf.Message;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Loads the settings file of a program. */
public final class SettingsFile {
    /** Largest settings file that is read, in bytes. */
    public static final long MAX_SIZE_BYTES = 1 << 20;

    private SettingsFile() {}

    /**
     * Loads settings.
     *
     * @param file the file, JSON with comments in UTF-8
     * @param prototype any instance of the settings message
     * @param <M> type of the settings message
     * @return the settings with fallbacks in place, or all faults
     */
    public static <M extends Message> ReadResult<M> load(Path file, M prototype) {
        String name = file.toString();
        try {
            if (Files.size(file) > MAX_SIZE_BYTES) {
                return invalid(name, Problem.TOO_LARGE, "", Long.toString(MAX_SIZE_BYTES));
            }
            return SchemaReader.read(Files.readString(file, StandardCharsets.UTF_8), name, prototype);
        } catch (IOException e) {
            return invalid(name, Problem.UNREADABLE, e.getClass().getSimpleName(), "");
        }
    }

    private static <M extends Message> ReadResult<M> invalid(
            String file, Problem problem, String found, String allowed) {
        return new ReadResult.Invalid<>(List.of(new Fault(file, 0, 0, "", problem, found, allowed)));
    }
}
