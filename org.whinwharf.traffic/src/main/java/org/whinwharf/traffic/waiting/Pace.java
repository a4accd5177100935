package org.whinwharf.traffic.waiting;

import java.util.ArrayDeque;
import java.util.Deque;

/** How many requests found a target within the last second. */
public final class Pace {
    /** Time looked back on: long enough for a steady figure, short enough to show the loss of targets. */
    private static final long WINDOW_MILLIS = 1_000;

    private final Deque<Long> placedAtMillis = new ArrayDeque<>();

    /**
     * Notes a request that found a target.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void placed(long nowMillis) {
        placedAtMillis.addLast(nowMillis);
        expire(nowMillis);
    }

    /**
     * Predicts how long a request waits.
     *
     * @param ahead requests that go before it
     * @param nowMillis steady time in milliseconds
     * @return time in milliseconds; 0 when nothing was placed lately, so that nothing is known
     */
    public long waitMillis(int ahead, long nowMillis) {
        expire(nowMillis);
        return placedAtMillis.isEmpty() ? 0 : ahead * WINDOW_MILLIS / placedAtMillis.size();
    }

    private void expire(long nowMillis) {
        while (!placedAtMillis.isEmpty() && nowMillis - placedAtMillis.peekFirst() > WINDOW_MILLIS) {
            placedAtMillis.removeFirst();
        }
    }
}
