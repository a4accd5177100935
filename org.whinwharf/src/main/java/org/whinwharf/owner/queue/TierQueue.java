package org.whinwharf.owner.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

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
    // Walked for every grant: organisations with nothing waiting are kept apart, for there may be thousands of them.
    private final TreeSet<Line> active = new TreeSet<>(Line.ORDER);
    private final TreeSet<Line> idle = new TreeSet<>(Line.ORDER);
    private double virtualTime;
    private long cost;
    private int size;

    int size() {
        return size;
    }

    long cost() {
        return cost;
    }

    void add(WaitingRequest waiting) {
        Line line = lines.computeIfAbsent(waiting.organisation(), Line::new);
        if (line.waiting.isEmpty()) {
            idle.remove(line);
            line.virtualTime = Math.max(line.virtualTime, virtualTime);
            active.add(line);
        }
        if (line.waiting.add(waiting)) {
            line.cost += waiting.cost();
            cost += waiting.cost();
            size++;
        }
    }

    boolean remove(WaitingRequest waiting) {
        Line line = lines.get(waiting.organisation());
        if (line == null || !line.waiting.remove(waiting)) {
            return false;
        }
        line.cost -= waiting.cost();
        cost -= waiting.cost();
        size--;
        if (line.waiting.isEmpty()) {
            active.remove(line);
            idle.add(line);
        }
        return true;
    }

    /**
     * Returns the predicted cost of what this tier serves before a request that has just come: of its own organisation
     * what goes before it, of every other one no more than a fair share of that.
     */
    long costBefore(WaitingRequest waiting) {
        Line own = lines.get(waiting.organisation());
        long ownBefore = own == null ? 0 : own.costBefore(waiting);
        double perWeight = (double) (ownBefore + waiting.cost()) / Math.max(1, waiting.weight());
        double before = ownBefore;
        for (Line line : active) {
            if (line != own) {
                before += Math.min(
                        line.cost, perWeight * Math.max(1, line.waiting.first().weight()));
            }
        }
        return (long) before;
    }

    /**
     * Returns the next request to be served among the first ones of each organisation that pass; empty when none does.
     */
    Optional<WaitingRequest> firstHead(Predicate<WaitingRequest> passes) {
        for (Line line : active) {
            WaitingRequest head = line.waiting.first();
            if (passes.test(head)) {
                return Optional.of(head);
            }
        }
        return Optional.empty();
    }

    /** Accounts for a request that was granted and removed. */
    void served(WaitingRequest waiting) {
        Line line = lines.get(waiting.organisation());
        if (line != null) {
            virtualTime = Math.max(virtualTime, line.virtualTime);
            charge(line, (double) waiting.cost() / Math.max(1, waiting.weight()));
        }
        forgetIdle();
    }

    /** Returns the request that hurts least to shed: the last one of the organisation that has most waiting. */
    WaitingRequest victim() {
        Line longest = null;
        for (Line line : active) {
            if (longest == null || line.burden() > longest.burden()) {
                longest = line;
            }
        }
        return longest == null ? null : longest.waiting.last();
    }

    List<WaitingRequest> all() {
        List<WaitingRequest> all = new ArrayList<>(size);
        active.forEach(line -> all.addAll(line.waiting));
        return all;
    }

    // A line's place in its set hangs on its virtual time, so it is taken out while that changes.
    private void charge(Line line, double virtualCost) {
        TreeSet<Line> place = line.waiting.isEmpty() ? idle : active;
        place.remove(line);
        line.virtualTime += virtualCost;
        place.add(line);
    }

    // Idle organisations that are not ahead of the tier carry nothing worth keeping; without this the map would grow
    // with every organisation ever seen.
    private void forgetIdle() {
        while (!idle.isEmpty() && idle.first().virtualTime <= virtualTime) {
            lines.remove(idle.pollFirst().organisation);
        }
    }

    /** What one organisation has waiting. */
    private static final class Line {
        private static final Comparator<Line> ORDER =
                Comparator.<Line>comparingDouble(line -> line.virtualTime).thenComparing(line -> line.organisation);
        // A short request overtakes a long one that came a little earlier; since every request's place is fixed by its
        // own
        // arrival, the long one is overtaken for a bounded time only.
        private static final Comparator<WaitingRequest> AGED_SHORTEST_FIRST =
                Comparator.<WaitingRequest>comparingDouble(
                                waiting -> waiting.arrivedAtMillis() + waiting.cost() * MILLIS_PER_COST)
                        .thenComparing(waiting -> waiting.home().host())
                        .thenComparingLong(waiting -> waiting.home().incarnation())
                        .thenComparingLong(WaitingRequest::request);

        private final String organisation;
        private final TreeSet<WaitingRequest> waiting = new TreeSet<>(AGED_SHORTEST_FIRST);
        private double virtualTime;
        private long cost;

        Line(String organisation) {
            this.organisation = organisation;
        }

        long costBefore(WaitingRequest other) {
            return waiting.headSet(other).stream()
                    .mapToLong(WaitingRequest::cost)
                    .sum();
        }

        double burden() {
            return (double) cost / Math.max(1, waiting.first().weight());
        }
    }
}
