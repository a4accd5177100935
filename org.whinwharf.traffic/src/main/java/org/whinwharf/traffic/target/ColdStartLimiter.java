package org.whinwharf.traffic.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds what this process sends to one cold target.
 *
 * <p>A cold target falls over when all processes together send it more than it bears in a second, and nobody sees the
 * sum in time. So a few processes, chosen by rendezvous hashing, may send to it at all, each a fixed share; one more
 * process that chose itself from an older list of members still leaves the sum within the bound.
 */
public final class ColdStartLimiter {
    /** Window of the bound, with 200 ms added for requests of one second that arrive bunched. */
    private static final long WINDOW_MILLIS = 1_200;

    private final Deque<Long> dispatchedAtMillis = new ArrayDeque<>();

    /**
     * Tells whether one more request may go to the target now.
     *
     * @param nowMillis steady time in milliseconds
     * @param mostInWindow most requests this process may send in a second
     * @return true when there is room
     */
    public boolean hasCapacity(long nowMillis, int mostInWindow) {
        while (!dispatchedAtMillis.isEmpty() && nowMillis - dispatchedAtMillis.peekFirst() > WINDOW_MILLIS) {
            dispatchedAtMillis.removeFirst();
        }
        return dispatchedAtMillis.size() < mostInWindow;
    }

    /**
     * Notes a request that was sent.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void recordDispatch(long nowMillis) {
        dispatchedAtMillis.addLast(nowMillis);
        if (dispatchedAtMillis.size() > 64) {
            dispatchedAtMillis.removeFirst();
        }
    }
}
