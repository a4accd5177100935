package org.whinwharf.owner.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Requests of one tier: fair between organisations by predicted cost, and inside an organisation the short ones first,
 * with ageing.
 *
 * <p>Each organisation has a virtual time that advances by the cost of what it was granted over its weight; the one
 * that is furthest behind comes next. An organisation that was idle starts at the tier's time, so that it cannot save
 * up.
 */
final class TierQueue {
    private static final double MILLIS_PER_COST = 5;

    private final Map<String, Line> lines = new HashMap<>();
    private double virtualTime;
    private int size;

    int size() {
        return size;
    }

    long cost() {
        return lines.values().stream().mapToLong(line -> line.cost).sum();
    }

    void add(Waiting waiting) {
        Line line = lines.computeIfAbsent(waiting.organisation(), Line::new);
        if (line.waiting.isEmpty()) {
            line.virtualTime = Math.max(line.virtualTime, virtualTime);
        }
        if (line.waiting.add(waiting)) {
            line.cost += waiting.cost();
            size++;
        }
    }

    boolean remove(Waiting waiting) {
        Line line = lines.get(waiting.organisation());
        if (line == null || !line.waiting.remove(waiting)) {
            return false;
        }
        line.cost -= waiting.cost();
        size--;
        return true;
    }

    /** Returns the first request of each organisation, in the order in which they are to be served. */
    List<Waiting> heads() {
        List<Line> active = new ArrayList<>();
        for (Line line : lines.values()) {
            if (!line.waiting.isEmpty()) {
                active.add(line);
            }
        }
        active.sort(Line.ORDER);
        return active.stream().map(line -> line.waiting.first()).toList();
    }

    /** Accounts for a request that was granted. */
    void served(Waiting waiting) {
        Line line = lines.get(waiting.organisation());
        if (line != null) {
            virtualTime = Math.max(virtualTime, line.virtualTime);
            line.virtualTime += (double) waiting.cost() / Math.max(1, waiting.weight());
        }
        // Idle organisations that are not ahead of the tier carry nothing worth keeping; without this the map would
        // grow
        // with every organisation ever seen.
        lines.values().removeIf(idle -> idle.waiting.isEmpty() && idle.virtualTime <= virtualTime);
    }

    /** Returns the request that hurts least to shed: the last one of the organisation that has most waiting. */
    Waiting victim() {
        Line longest = null;
        for (Line line : lines.values()) {
            if (!line.waiting.isEmpty() && (longest == null || line.burden() > longest.burden())) {
                longest = line;
            }
        }
        return longest == null ? null : longest.waiting.last();
    }

    List<Waiting> all() {
        List<Waiting> all = new ArrayList<>(size);
        lines.values().forEach(line -> all.addAll(line.waiting));
        return all;
    }

    /** What one organisation has waiting. */
    private static final class Line {
        private static final Comparator<Line> ORDER =
                Comparator.<Line>comparingDouble(line -> line.virtualTime).thenComparing(line -> line.organisation);
        // A short request overtakes a long one that came a little earlier; since every request's place is fixed by its
        // own
        // arrival, the long one is overtaken for a bounded time only.
        private static final Comparator<Waiting> AGED_SHORTEST_FIRST = Comparator.<Waiting>comparingDouble(
                        waiting -> waiting.arrivedAtMillis() + waiting.cost() * MILLIS_PER_COST)
                .thenComparing(waiting -> waiting.home().host())
                .thenComparingLong(waiting -> waiting.home().incarnation())
                .thenComparingLong(Waiting::request);

        private final String organisation;
        private final TreeSet<Waiting> waiting = new TreeSet<>(AGED_SHORTEST_FIRST);
        private double virtualTime;
        private long cost;

        Line(String organisation) {
            this.organisation = organisation;
        }

        double burden() {
            return (double) cost / Math.max(1, waiting.first().weight());
        }
    }
}
