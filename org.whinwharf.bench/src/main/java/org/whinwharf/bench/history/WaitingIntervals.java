package org.whinwharf.bench.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * When requests surely waited: from shortly after they were sent until shortly before they reached a target or were
 * refused.
 */
final class WaitingIntervals {
    private final Map<String, TreeMap<Integer, Line>> byServiceAndRank = new HashMap<>();

    WaitingIntervals(History history) {
        long marginMillis = history.tolerances().clockMillis();
        Map<String, Map<Integer, List<Interval>>> intervals = new HashMap<>();
        for (HistoryEntry entry : history.entries()) {
            long fromMillis = entry.sentMillis() + marginMillis;
            long untilMillis = waitedUntilMillis(history, entry) - marginMillis;
            if (fromMillis <= untilMillis) {
                intervals
                        .computeIfAbsent(entry.service(), service -> new HashMap<>())
                        .computeIfAbsent(entry.tierRank(), rank -> new ArrayList<>())
                        .add(new Interval(fromMillis, untilMillis, entry));
            }
        }
        intervals.forEach((service, ranks) -> {
            TreeMap<Integer, Line> lines = new TreeMap<>();
            ranks.forEach((rank, list) -> lines.put(rank, Line.of(list)));
            byServiceAndRank.put(service, lines);
        });
    }

    private record Interval(long fromMillis, long untilMillis, HistoryEntry entry) {}

    /**
     * Intervals by their start, and the one among the first of them that lasts longest.
     *
     * @param longest by start; the interval that ends last of all that start no later
     */
    private record Line(TreeMap<Long, Interval> longest) {
        static Line of(List<Interval> intervals) {
            TreeMap<Long, Interval> longest = new TreeMap<>();
            Interval last = null;
            intervals.sort(Comparator.comparingLong(Interval::fromMillis));
            for (Interval each : intervals) {
                last = last == null || each.untilMillis() > last.untilMillis() ? each : last;
                longest.put(each.fromMillis(), last);
            }
            return new Line(longest);
        }

        Optional<HistoryEntry> waitingAt(long atMillis) {
            return Optional.ofNullable(longest.floorEntry(atMillis))
                    .map(Map.Entry::getValue)
                    .filter(interval -> interval.untilMillis() >= atMillis)
                    .map(Interval::entry);
        }
    }

    /** Returns a request of a lower tier that waited at the instant at which this one was shed. */
    Optional<HistoryEntry> lowerTierWaitingAt(HistoryEntry shed) {
        TreeMap<Integer, Line> ranks = byServiceAndRank.getOrDefault(shed.service(), new TreeMap<>());
        return ranks.headMap(shed.tierRank()).values().stream()
                .flatMap(line -> line.waitingAt(shed.endMillis()).stream())
                .findFirst();
    }

    private static long waitedUntilMillis(History history, HistoryEntry entry) {
        Optional<Long> admitted = history.admissionsOf(entry.requestId()).stream()
                .map(Admission::startMillis)
                .findFirst();
        if (admitted.isPresent()) {
            return admitted.get();
        }
        if (entry.headMillis() > 0) {
            return entry.headMillis();
        }
        return Rule.saidNotRun(entry) ? entry.endMillis() : entry.sentMillis();
    }
}
