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
 * Requests of one tier: organisations share by predicted cost, and within an organisation shorter requests come first,
 * with ageing.
 *
 * <p>Each organisation has a virtual time that advances by the cost of its granted requests divided by its weight. The
 * organisation with the lowest virtual time comes next. An organisation that was idle starts at the virtual time of the
 * tier, so that it cannot accumulate credit while idle.
 */
final class TierQueue {
    private static final double AGEING_MILLIS_PER_COST = 5;

    private final Map<String, OrganisationQueue> byOrganisation = new HashMap<>();
    // The active set is iterated for every grant. Organisations without waiting requests are kept apart, because
    // there may be thousands of them.
    private final TreeSet<OrganisationQueue> active = new TreeSet<>(OrganisationQueue.ORDER);
    private final TreeSet<OrganisationQueue> idle = new TreeSet<>(OrganisationQueue.ORDER);
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
        OrganisationQueue queue = byOrganisation.computeIfAbsent(waiting.organisation(), OrganisationQueue::new);
        if (queue.waiting.isEmpty()) {
            idle.remove(queue);
            queue.virtualTime = Math.max(queue.virtualTime, virtualTime);
            active.add(queue);
        }
        if (queue.waiting.add(waiting)) {
            queue.cost += waiting.cost();
            cost += waiting.cost();
            size++;
        }
    }

    boolean remove(WaitingRequest waiting) {
        OrganisationQueue queue = byOrganisation.get(waiting.organisation());
        if (queue == null || !queue.waiting.remove(waiting)) {
            return false;
        }
        queue.cost -= waiting.cost();
        cost -= waiting.cost();
        size--;
        if (queue.waiting.isEmpty()) {
            active.remove(queue);
            idle.add(queue);
        }
        return true;
    }

    /**
     * Returns the predicted cost that this tier serves before a request that has just arrived: the cost ahead of it in
     * its own organisation, and for each other organisation no more than its fair share of that cost.
     */
    long costBefore(WaitingRequest waiting) {
        OrganisationQueue ownQueue = byOrganisation.get(waiting.organisation());
        long ownBefore = ownQueue == null ? 0 : ownQueue.costBefore(waiting);
        double perWeight = (double) (ownBefore + waiting.cost()) / Math.max(1, waiting.weight());
        double before = ownBefore;
        for (OrganisationQueue queue : active) {
            if (queue != ownQueue) {
                before += Math.min(
                        queue.cost,
                        perWeight * Math.max(1, queue.waiting.first().weight()));
            }
        }
        return (long) before;
    }

    /**
     * Returns the next request to serve among the first requests of the organisations that satisfy the condition; empty
     * when none does.
     */
    Optional<WaitingRequest> firstMatchingHead(Predicate<WaitingRequest> passes) {
        for (OrganisationQueue queue : active) {
            WaitingRequest head = queue.waiting.first();
            if (passes.test(head)) {
                return Optional.of(head);
            }
        }
        return Optional.empty();
    }

    /** Charges the cost of a granted request, which was removed before, to its organisation. */
    void chargeGranted(WaitingRequest waiting) {
        OrganisationQueue queue = byOrganisation.get(waiting.organisation());
        if (queue != null) {
            virtualTime = Math.max(virtualTime, queue.virtualTime);
            charge(queue, (double) waiting.cost() / Math.max(1, waiting.weight()));
        }
        removeIdle();
    }

    /**
     * Returns the request to shed first: the last one of the organisation with the highest waiting cost for its weight.
     */
    WaitingRequest victim() {
        OrganisationQueue longest = null;
        for (OrganisationQueue queue : active) {
            if (longest == null || queue.costPerWeight() > longest.costPerWeight()) {
                longest = queue;
            }
        }
        return longest == null ? null : longest.waiting.last();
    }

    List<WaitingRequest> all() {
        List<WaitingRequest> all = new ArrayList<>(size);
        active.forEach(queue -> all.addAll(queue.waiting));
        return all;
    }

    // The sets are ordered by virtual time, so a queue is removed from its set while its virtual time changes.
    private void charge(OrganisationQueue queue, double virtualCost) {
        TreeSet<OrganisationQueue> containingSet = queue.waiting.isEmpty() ? idle : active;
        containingSet.remove(queue);
        queue.virtualTime += virtualCost;
        containingSet.add(queue);
    }

    // Idle organisations that are not ahead of the tier's virtual time hold no state worth keeping. Without their
    // removal the map would grow with every organisation ever seen.
    private void removeIdle() {
        while (!idle.isEmpty() && idle.first().virtualTime <= virtualTime) {
            byOrganisation.remove(idle.pollFirst().organisation);
        }
    }

    /** Waiting requests of one organisation. */
    private static final class OrganisationQueue {
        private static final Comparator<OrganisationQueue> ORDER = Comparator.<OrganisationQueue>comparingDouble(
                        queue -> queue.virtualTime)
                .thenComparing(queue -> queue.organisation);
        // A short request overtakes a long one that arrived a little earlier. The position of each request is fixed
        // by its own arrival time, so a long request is overtaken only for a bounded time.
        private static final Comparator<WaitingRequest> SHORTEST_FIRST_WITH_AGEING =
                Comparator.<WaitingRequest>comparingDouble(
                                waiting -> waiting.arrivedAtMillis() + waiting.cost() * AGEING_MILLIS_PER_COST)
                        .thenComparing(waiting -> waiting.home().host())
                        .thenComparingLong(waiting -> waiting.home().incarnation())
                        .thenComparingLong(WaitingRequest::request);

        private final String organisation;
        private final TreeSet<WaitingRequest> waiting = new TreeSet<>(SHORTEST_FIRST_WITH_AGEING);
        private double virtualTime;
        private long cost;

        OrganisationQueue(String organisation) {
            this.organisation = organisation;
        }

        long costBefore(WaitingRequest other) {
            return waiting.headSet(other).stream()
                    .mapToLong(WaitingRequest::cost)
                    .sum();
        }

        double costPerWeight() {
            return (double) cost / Math.max(1, waiting.first().weight());
        }
    }
}
