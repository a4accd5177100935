package org.whinwharf.traffic.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the rate at which this process dispatches requests to one cold target.
 *
 * <p>A cold target fails when all processes together send it more requests per second than it sustains, and no process
 * sees the sum in time. Therefore only a few processes, selected by rendezvous hashing, may dispatch to it, each with a
 * fixed share. One additional process that selected itself from a stale member list still leaves the sum within the
 * limit.
 */
public final class ColdStartLimiter {
    /** Window of the limit: one second plus 200 ms, because requests of one second may arrive bunched. */
    private static final long WINDOW_MILLIS = 1_200;

    private final Deque<Long> dispatchedAtMillis = new ArrayDeque<>();

    /**
     * Returns whether one more request may be dispatched to the target now.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param maxInWindow maximum number of requests that this process may dispatch per second
     * @return true when the limit is not reached
     */
    public boolean hasCapacity(long nowMillis, int maxInWindow) {
        while (!dispatchedAtMillis.isEmpty() && nowMillis - dispatchedAtMillis.peekFirst() > WINDOW_MILLIS) {
            dispatchedAtMillis.removeFirst();
        }
        return dispatchedAtMillis.size() < maxInWindow;
    }

    /**
     * Records a dispatched request.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordDispatch(long nowMillis) {
        dispatchedAtMillis.addLast(nowMillis);
        if (dispatchedAtMillis.size() > 64) {
            dispatchedAtMillis.removeFirst();
        }
    }
}
