package org.whinwharf.bench.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Requests by the instant at which a target admitted them, for each service. */
final class LaterAdmissions {
    private final long marginMillis;
    private final Map<String, TreeMap<Long, List<HistoryEntry>>> byService = new HashMap<>();

    LaterAdmissions(History history) {
        this.marginMillis = history.tolerances().clockMillis();
        for (HistoryEntry entry : history.entries()) {
            for (Admission admission : history.admissionsOf(entry.requestId())) {
                byService
                        .computeIfAbsent(entry.service(), service -> new TreeMap<>())
                        .computeIfAbsent(admission.startMillis(), at -> new ArrayList<>())
                        .add(entry);
            }
        }
    }

    /**
     * Returns a request of a lower tier that waited when the given one was refused and got a place in the first half of
     * the time that the refused one had left. The second half is left out, since the refused request would have needed
     * time for its answer.
     */
    Optional<HistoryEntry> lowerTierServedInstead(HistoryEntry refused) {
        long refusedMillis = refused.endMillis();
        long leftMillis = refused.sentMillis() + refused.deadlineMillis() - refusedMillis;
        long fromMillis = refusedMillis + marginMillis;
        long untilMillis = refusedMillis + leftMillis / 2;
        if (fromMillis >= untilMillis) {
            return Optional.empty();
        }
        return byService
                .getOrDefault(refused.service(), new TreeMap<>())
                .subMap(fromMillis, untilMillis)
                .values()
                .stream()
                .flatMap(List::stream)
                .filter(other -> other.tierRank() < refused.tierRank())
                .filter(other -> other.sentMillis() + marginMillis <= refusedMillis)
                .findFirst();
    }
}
