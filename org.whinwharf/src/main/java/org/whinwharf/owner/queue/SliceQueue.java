package org.whinwharf.owner.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.whinwharf.owner.ProcessId;

/** Requests that wait in one slice: strict tiers, fair inside a tier. */
public final class SliceQueue {
    private final TreeMap<Integer, TierQueue> tiers = new TreeMap<>(Comparator.reverseOrder());
    private final Map<WaitingRequest.Key, WaitingRequest> byKey = new HashMap<>();

    /**
     * Returns the number of waiting requests.
     *
     * @return size
     */
    public int size() {
        return byKey.size();
    }

    /**
     * Adds a request.
     *
     * @param waiting the request
     * @return false when it waits already
     */
    public boolean add(WaitingRequest waiting) {
        if (byKey.putIfAbsent(waiting.key(), waiting) != null) {
            return false;
        }
        tiers.computeIfAbsent(waiting.rank(), rank -> new TierQueue()).add(waiting);
        return true;
    }

    /**
     * Removes a request that is not granted.
     *
     * @param key the request
     * @return the request; empty when it does not wait
     */
    public Optional<WaitingRequest> remove(WaitingRequest.Key key) {
        WaitingRequest waiting = byKey.remove(key);
        if (waiting != null) {
            tiers.get(waiting.rank()).remove(waiting);
        }
        return Optional.ofNullable(waiting);
    }

    /**
     * Removes a request that is granted, and charges its organisation.
     *
     * @param waiting the request
     */
    public void removeGranted(WaitingRequest waiting) {
        byKey.remove(waiting.key());
        TierQueue tier = tiers.get(waiting.rank());
        tier.remove(waiting);
        tier.chargeGranted(waiting);
    }

    /**
     * Finds the request that is to be served next: the highest tier's, and of it the first one of the organisation that
     * is furthest behind.
     *
     * @param passes what the request must satisfy
     * @return a request; empty when none that is first in its organisation passes
     */
    public Optional<WaitingRequest> next(Predicate<WaitingRequest> passes) {
        for (TierQueue tier : tiers.values()) {
            Optional<WaitingRequest> next = tier.firstMatchingHead(passes);
            if (next.isPresent()) {
                return next;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the rank of the lowest tier that has something waiting.
     *
     * @return rank; empty when none waits
     */
    public Optional<Integer> lowestRank() {
        return tiers.descendingMap().entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /**
     * Returns the request that is to be shed first.
     *
     * @return a request of the lowest tier; empty when none waits
     */
    public Optional<WaitingRequest> victim() {
        return lowestRank().map(rank -> tiers.get(rank).victim());
    }

    /**
     * Returns what waits below a rank.
     *
     * @param rank the rank
     * @return requests of lower tiers
     */
    public List<WaitingRequest> belowRank(int rank) {
        return select(tiers.tailMap(rank, false));
    }

    /**
     * Returns all that waits, highest tier first.
     *
     * @return requests
     */
    public List<WaitingRequest> all() {
        return select(tiers);
    }

    /**
     * Returns what a home has waiting.
     *
     * @param home the home
     * @return requests
     */
    public List<WaitingRequest> waitingOf(ProcessId home) {
        return byKey.values().stream()
                .filter(waiting -> waiting.home().equals(home))
                .toList();
    }

    /**
     * Returns the predicted cost of what is served before a fresh request of a tier.
     *
     * @param rank rank of the tier
     * @return sum of costs of this tier and all above it
     */
    public long costAhead(int rank) {
        return tiers.headMap(rank, true).values().stream()
                .mapToLong(TierQueue::cost)
                .sum();
    }

    /**
     * Returns the predicted cost of what is served before a request that has just come.
     *
     * @param waiting the request, not yet in the queue
     * @return sum of the costs of all tiers above it, and of what its own tier serves first
     */
    public long costBefore(WaitingRequest waiting) {
        long above = tiers.headMap(waiting.rank(), false).values().stream()
                .mapToLong(TierQueue::cost)
                .sum();
        TierQueue own = tiers.get(waiting.rank());
        return own == null ? above : above + own.costBefore(waiting);
    }

    /**
     * Tells whether anything waits below a rank.
     *
     * @param rank the rank
     * @return true when a lower tier has something waiting
     */
    public boolean hasBelowRank(int rank) {
        return tiers.tailMap(rank, false).values().stream().anyMatch(tier -> tier.size() > 0);
    }

    /**
     * Returns how many requests wait in each tier.
     *
     * @return count by rank, highest first
     */
    public SortedMap<Integer, Integer> sizes() {
        SortedMap<Integer, Integer> sizes = new TreeMap<>(Comparator.reverseOrder());
        tiers.forEach((rank, tier) -> sizes.put(rank, tier.size()));
        return sizes;
    }

    private static List<WaitingRequest> select(Map<Integer, TierQueue> selected) {
        List<WaitingRequest> all = new ArrayList<>();
        selected.values().forEach(tier -> all.addAll(tier.all()));
        return all;
    }
}
