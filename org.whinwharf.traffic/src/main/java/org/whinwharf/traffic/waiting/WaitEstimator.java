package org.whinwharf.traffic.waiting;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;

/** How many requests found a target within the last second, by rank. */
public final class WaitEstimator {
    /** Time looked back on: long enough for a steady figure, short enough to show the loss of targets. */
    private static final long WINDOW_MILLIS = 1_000;

    private final Deque<RecentPlacement> recentPlacements = new ArrayDeque<>();
    private final TreeMap<Integer, Integer> countsByRank = new TreeMap<>();

    private record RecentPlacement(int rank, long atMillis) {}

    /**
     * Notes a request that found a target.
     *
     * @param rank its rank in the waiting line
     * @param nowMillis steady time in milliseconds
     */
    public void recordPlacement(int rank, long nowMillis) {
        recentPlacements.addLast(new RecentPlacement(rank, nowMillis));
        countsByRank.merge(rank, 1, Integer::sum);
        expire(nowMillis);
    }

    /**
     * Predicts how long a request waits. What higher ranks got in the last second they will take in the next one too,
     * so only what its own rank and those below got counts: by the pace of all, a line would look short that hardly
     * moves, and its requests would be kept for nothing.
     *
     * @param ahead requests that go before it
     * @param rank its rank
     * @param nowMillis steady time in milliseconds
     * @return time in milliseconds; 0 when nothing at all was placed lately, so that nothing is known
     */
    public long estimatedWaitMillis(int ahead, int rank, long nowMillis) {
        expire(nowMillis);
        if (recentPlacements.isEmpty()) {
            return 0;
        }
        int placed = countsByRank.tailMap(rank, true).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        return ahead * WINDOW_MILLIS / Math.max(1, placed);
    }

    private void expire(long nowMillis) {
        while (!recentPlacements.isEmpty() && nowMillis - recentPlacements.peekFirst().atMillis() > WINDOW_MILLIS) {
            countsByRank.merge(recentPlacements.removeFirst().rank(), -1, Integer::sum);
        }
    }
}
