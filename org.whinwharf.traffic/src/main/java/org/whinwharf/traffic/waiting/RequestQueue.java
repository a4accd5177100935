package org.whinwharf.traffic.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;

/**
 * Requests of one service that wait here, ordered by rank; within a rank those that can still meet their objective go
 * first, then by arrival. A burst then makes some requests late, not all that come after it.
 *
 * <p>They wait here and not at an engine, because here a later request of a higher tier still goes first and a caller
 * that leaves costs nothing.
 */
public final class RequestQueue {
    /**
     * Requests of one rank and the same needs that find no target before the rest of them is left for the next look.
     * What keeps one from being sent keeps nearly all of them; trying each of several hundred at each freed slot would
     * take a coordinator's whole processor. Three allow for two that have tried the targets that are free.
     */
    private static final int MAX_FAILURES_PER_MODEL = 3;
    /** Time without an empty line after which it stands: shorter bursts are worked off late and nobody is refused. */
    private static final long BACKLOG_THRESHOLD_MILLIS = 1_000;

    private final TreeMap<Integer, List<QueuedRequest>> requestsByRank = new TreeMap<>();
    private final Map<Integer, Backlog> backlogsByRank = new HashMap<>();
    private final int maxQueued;
    private final Policy policy;
    private int size;

    /**
     * Creates an empty line.
     *
     * @param mostWaiting requests that may wait; the next one pushes out the last of the lowest tier
     */
    public RequestQueue(int mostWaiting) {
        this(mostWaiting, Policy.ALL_ENABLED);
    }

    /**
     * Creates an empty line that uses a part of the policy.
     *
     * @param mostWaiting requests that may wait
     * @param policy what is in use
     */
    public RequestQueue(int mostWaiting, Policy policy) {
        this.maxQueued = mostWaiting;
        this.policy = policy;
    }

    /**
     * Returns how many requests wait.
     *
     * @return requests
     */
    public int size() {
        return size;
    }

    /**
     * Tells whether a request of the same or a higher tier waits.
     *
     * @param tierRank rank
     * @return true when one would have to go first
     */
    public boolean hasQueuedAhead(int tierRank) {
        return requestsByRank.headMap(tierRank, true).values().stream().anyMatch(list -> !list.isEmpty());
    }

    /**
     * Returns how many requests go before a new one.
     *
     * @param tierRank rank of the new one
     * @param nowMillis steady time in milliseconds
     * @return those of higher tiers, and those of its own that can still be on time
     */
    public int queuedAhead(int tierRank, long nowMillis) {
        int ahead = 0;
        for (List<QueuedRequest> list : requestsByRank.headMap(tierRank).values()) {
            ahead += list.size();
        }
        for (QueuedRequest waiter : requestsByRank.getOrDefault(tierRank, List.of())) {
            ahead += nowMillis <= waiter.onTimeUntilMillis() ? 1 : 0;
        }
        return ahead;
    }

    /**
     * Tells for how long requests of a rank have waited without a pause.
     *
     * @param tierRank rank
     * @param nowMillis steady time in milliseconds
     * @return time in milliseconds; 0 when the line was worked off a moment ago
     */
    public long backlogAgeMillis(int tierRank, long nowMillis) {
        Backlog standing = backlogsByRank.get(tierRank);
        return standing == null ? 0 : standing.ageMillis(nowMillis);
    }

    /**
     * Tells for how long requests of any rank have waited without a pause.
     *
     * @param nowMillis steady time in milliseconds
     * @return time in milliseconds; 0 when all lines were worked off a moment ago
     */
    public long backlogAgeMillis(long nowMillis) {
        return backlogsByRank.values().stream()
                .mapToLong(standing -> standing.ageMillis(nowMillis))
                .max()
                .orElse(0);
    }

    /**
     * Returns until when a request is kept waiting.
     *
     * @param waiter the request
     * @param nowMillis steady time in milliseconds
     * @return steady time in milliseconds
     */
    public long effectiveTimeoutAtMillis(QueuedRequest waiter, long nowMillis) {
        return policy.isEnabled(Mechanism.SHORT_STANDING_LINE)
                        && backlogAgeMillis(waiter.tierRank(), nowMillis) >= BACKLOG_THRESHOLD_MILLIS
                ? Math.min(waiter.queueTimeoutAtMillis(), waiter.backlogTimeoutAtMillis())
                : waiter.queueTimeoutAtMillis();
    }

    /**
     * Adds a request.
     *
     * @param waiter the request
     * @param nowMillis steady time in milliseconds
     */
    public void add(QueuedRequest waiter, long nowMillis) {
        requestsByRank.computeIfAbsent(waiter.tierRank(), rank -> new ArrayList<>()).add(waiter);
        backlogsByRank
                .computeIfAbsent(waiter.tierRank(), rank -> new Backlog())
                .requestQueued(nowMillis);
        size++;
        if (size > maxQueued) {
            evictLast(nowMillis);
        }
    }

    /**
     * Takes out a request whose caller has left.
     *
     * @param waiter the request
     */
    public void remove(QueuedRequest waiter) {
        List<QueuedRequest> list = requestsByRank.get(waiter.tierRank());
        if (list != null && list.remove(waiter)) {
            size--;
        }
    }

    /**
     * Sends what can be sent and refuses what has waited long enough.
     *
     * <p>A request that finds no target does not hold back those of lower rank that may go elsewhere: their own bound
     * on occupancy keeps the last slots free.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void advance(long nowMillis) {
        for (Integer rank : List.copyOf(requestsByRank.keySet())) {
            List<QueuedRequest> current = requestsByRank.put(rank, new ArrayList<>());
            List<QueuedRequest> staying = new ArrayList<>();
            size -= current.size();
            if (policy.isEnabled(Mechanism.ON_TIME_FIRST)) {
                current.sort(Comparator.comparing((QueuedRequest waiter) -> nowMillis > waiter.onTimeUntilMillis()));
            }
            // Waiters may add themselves again while they are tried, so the list under way is taken out first.
            Map<String, Integer> failures = new HashMap<>();
            for (QueuedRequest waiter : current) {
                if (nowMillis >= waiter.queueTimeoutAtMillis()) {
                    waiter.reject(nowMillis);
                    continue;
                }
                boolean tried = failures.getOrDefault(waiter.requiredModel(), 0) < MAX_FAILURES_PER_MODEL;
                DispatchResult attempt = tried ? waiter.tryDispatch(nowMillis) : DispatchResult.NO_TARGET;
                if (tried && attempt == DispatchResult.NO_TARGET) {
                    failures.merge(waiter.requiredModel(), 1, Integer::sum);
                }
                if (attempt == DispatchResult.NO_TARGET && nowMillis >= effectiveTimeoutAtMillis(waiter, nowMillis)) {
                    waiter.reject(nowMillis);
                } else if (attempt.stillQueued()) {
                    staying.add(waiter);
                }
            }
            requestsByRank.get(rank).addAll(0, staying);
            if (requestsByRank.get(rank).isEmpty() && backlogsByRank.containsKey(rank)) {
                backlogsByRank.get(rank).queueEmptied(nowMillis);
            }
            size += staying.size();
        }
    }

    private void evictLast(long nowMillis) {
        for (List<QueuedRequest> list : requestsByRank.descendingMap().values()) {
            if (!list.isEmpty()) {
                QueuedRequest last = list.remove(list.size() - 1);
                size--;
                last.reject(nowMillis);
                return;
            }
        }
    }
}
