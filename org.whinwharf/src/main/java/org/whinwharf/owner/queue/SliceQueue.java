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

/**
 * Requests that wait in one slice for a grant.
 *
 * <p>A higher tier is always served before a lower one; within a tier the organisations share fairly.
 */
public final class SliceQueue {
    private final TreeMap<Integer, TierQueue> tiers = new TreeMap<>(Comparator.reverseOrder());
    private final Map<WaitingRequest.Key, WaitingRequest> byKey = new HashMap<>();

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests
     */
    public int size() {
        return byKey.size();
    }

    /**
     * Adds a request.
     *
     * @param waiting the request
     * @return false when the request is already in the queue
     */
    public boolean add(WaitingRequest waiting) {
        if (byKey.putIfAbsent(waiting.key(), waiting) != null) {
            return false;
        }
        tiers.computeIfAbsent(waiting.rank(), rank -> new TierQueue()).add(waiting);
        return true;
    }

    /**
     * Removes a request without a grant.
     *
     * @param key key of the request
     * @return the request; empty when it is not in the queue
     */
    public Optional<WaitingRequest> remove(WaitingRequest.Key key) {
        WaitingRequest waiting = byKey.remove(key);
        if (waiting != null) {
            tiers.get(waiting.rank()).remove(waiting);
        }
        return Optional.ofNullable(waiting);
    }

    /**
     * Removes a granted request and charges its cost to its organisation.
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
     * Returns the request to serve next: in the highest tier with a match, the first request of the organisation that
     * has received least for its weight.
     *
     * @param passes condition that the request must satisfy
     * @return the request; empty when no organisation's first request satisfies the condition
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
     * Returns the rank of the lowest tier with a waiting request.
     *
     * @return rank; empty when the queue is empty
     */
    public Optional<Integer> lowestRank() {
        return tiers.descendingMap().entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /**
     * Returns the request to shed first.
     *
     * @return a request of the lowest tier with a waiting request; empty when the queue is empty
     */
    public Optional<WaitingRequest> victim() {
        return lowestRank().map(rank -> tiers.get(rank).victim());
    }

    /**
     * Returns the requests below a rank.
     *
     * @param rank the rank
     * @return requests of lower tiers
     */
    public List<WaitingRequest> belowRank(int rank) {
        return select(tiers.tailMap(rank, false));
    }

    /**
     * Returns all requests, highest tier first.
     *
     * @return requests
     */
    public List<WaitingRequest> all() {
        return select(tiers);
    }

    /**
     * Returns the requests of a home.
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
     * Returns the predicted cost served before a new request of a tier.
     *
     * @param rank rank of the tier
     * @return sum of the costs of this tier and all higher tiers
     */
    public long costAhead(int rank) {
        return tiers.headMap(rank, true).values().stream()
                .mapToLong(TierQueue::cost)
                .sum();
    }

    /**
     * Returns the predicted cost served before a request that has just arrived.
     *
     * @param waiting the request, not yet in the queue
     * @return sum of the costs of all higher tiers and of the requests that its own tier serves first
     */
    public long costBefore(WaitingRequest waiting) {
        long above = tiers.headMap(waiting.rank(), false).values().stream()
                .mapToLong(TierQueue::cost)
                .sum();
        TierQueue own = tiers.get(waiting.rank());
        return own == null ? above : above + own.costBefore(waiting);
    }

    /**
     * Returns whether any request waits below a rank.
     *
     * @param rank the rank
     * @return true when a lower tier has a waiting request
     */
    public boolean hasBelowRank(int rank) {
        return tiers.tailMap(rank, false).values().stream().anyMatch(tier -> tier.size() > 0);
    }

    /**
     * Returns the number of waiting requests by tier.
     *
     * @return counts by rank, highest rank first
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
