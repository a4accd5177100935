package org.whinwharf.system;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinwharf.bench.history.TargetHistory;
import org.whinwharf.standin.StandInText;
import org.whinwharf.standin.record.CallRecord;
import org.whinwharf.standin.record.EngineRecord;
import org.whinwharf.standin.record.StreamRecord;

/** What the stand-ins of a fleet recorded. */
final class Records {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Records() {}

    static List<TargetHistory> of(Fleet fleet) {
        List<TargetHistory> targets = new ArrayList<>();
        for (int i = 0; i < Fleet.DATA_CENTRES.length; i++) {
            for (int n = 0; n < Fleet.TARGETS_PER_DATA_CENTRE; n++) {
                EngineRecord engine = read(fleet.engine(i, n), new TypeReference<>() {});
                targets.add(new TargetHistory(
                        "lampa-" + i + "-" + n, Fleet.DATA_CENTRES[i], Optional.of(engine), List.of()));
            }
            List<CallRecord> calls = read(fleet.plain(i), new TypeReference<>() {});
            targets.add(new TargetHistory("zber-" + i, Fleet.DATA_CENTRES[i], Optional.empty(), calls));
        }
        return targets;
    }

    static List<StreamRecord> streams(Fleet fleet, int dataCentre) {
        return of(fleet).stream()
                .filter(target -> target.dataCentre().equals(Fleet.DATA_CENTRES[dataCentre]))
                .flatMap(target -> target.engine().stream())
                .flatMap(engine -> engine.streams().stream())
                .toList();
    }

    /** Counts how often an input ran at any target, under whatever id. */
    static long runs(Fleet fleet, String input) {
        String digest = StandInText.inputDigest(input);
        return of(fleet).stream().mapToLong(target -> runs(target, digest)).sum();
    }

    private static long runs(TargetHistory target, String digest) {
        long calls = target.calls().stream()
                .filter(call -> call.inputDigest().equals(digest))
                .count();
        long streams = target.engine().stream()
                .flatMap(engine -> engine.streams().stream())
                .filter(stream -> stream.inputDigest().equals(digest))
                .count();
        return calls + streams;
    }

    private static <T> T read(String url, TypeReference<T> type) {
        try {
            return MAPPER.readValue(Http.get(url + "/v1/record").body(), type);
        } catch (JsonProcessingException e) {
            throw new AssertionError(url, e);
        }
    }
}
