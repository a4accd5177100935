package org.whinwharf.traffic.waiting;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;

/** Estimates queue waits from the placements of the last second, by rank. */
public final class WaitEstimator {
    /** Window over which placements are counted: long enough for a stable rate, short enough to show lost targets. */
    private static final long WINDOW_MILLIS = 1_000;

    private final Deque<RecentPlacement> recentPlacements = new ArrayDeque<>();
    private final TreeMap<Integer, Integer> countsByRank = new TreeMap<>();

    private record RecentPlacement(int rank, long atMillis) {}

    /**
     * Records that a request was placed at a target.
     *
     * @param rank rank of the request in the queue
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordPlacement(int rank, long nowMillis) {
        recentPlacements.addLast(new RecentPlacement(rank, nowMillis));
        countsByRank.merge(rank, 1, Integer::sum);
        expire(nowMillis);
    }

    /**
     * Estimates how long a request waits. Only placements of its own rank and of lower ranks count, because higher
     * ranks will use about as many slots in the next second as in the last. With the placements of all ranks, a queue
     * that hardly drains would seem fast, and its requests would wait only to be rejected.
     *
     * @param queuedAhead number of requests that are served before it
     * @param rank rank of the request
     * @param nowMillis monotonic time in milliseconds
     * @return wait in milliseconds; 0 if no request was placed in the window, which allows no estimate
     */
    public long estimatedWaitMillis(int queuedAhead, int rank, long nowMillis) {
        expire(nowMillis);
        if (recentPlacements.isEmpty()) {
            return 0;
        }
        int placed = countsByRank.tailMap(rank, true).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        return queuedAhead * WINDOW_MILLIS / Math.max(1, placed);
    }

    /**
     * Returns the number of requests of all ranks that were placed in the last second.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return number of requests
     */
    public int placedPerSecond(long nowMillis) {
        expire(nowMillis);
        return recentPlacements.size();
    }

    private void expire(long nowMillis) {
        while (!recentPlacements.isEmpty()
                && nowMillis - recentPlacements.peekFirst().atMillis() > WINDOW_MILLIS) {
            countsByRank.merge(recentPlacements.removeFirst().rank(), -1, Integer::sum);
        }
    }
}
