package org.whinwharf.traffic.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the requests that this process sends a second time.
 *
 * <p>When a service fails, repeats multiply its load just then. The bound over the whole fleet is a share of the
 * requests plus a fixed allowance. Each process keeps to that share of its own requests and to its part of the
 * allowance, so the sum holds without any word between processes.
 */
public final class RetryBudget {
    /** Part of the allowed share that is used; the rest is slack for requests that ended elsewhere in the window. */
    private static final double RATIO_UTILISATION = 0.7;

    private final double ratio;
    private final long windowMillis;
    private final Deque<Long> requestsAtMillis = new ArrayDeque<>();
    private final Deque<Long> retriesAtMillis = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio repeats for each request, over the whole fleet
     * @param windowMillis window in which both are counted
     */
    public RetryBudget(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
    }

    /**
     * Notes a caller's request.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void recordRequest(long nowMillis) {
        requestsAtMillis.addLast(nowMillis);
        expire(nowMillis);
    }

    /**
     * Takes one repeat from the budget.
     *
     * @param nowMillis steady time in milliseconds
     * @param allowance this process's part of the fixed allowance
     * @return true when the repeat may be sent
     */
    public boolean tryRetry(long nowMillis, double allowance) {
        expire(nowMillis);
        if (retriesAtMillis.size() + 1 > requestsAtMillis.size() * ratio * RATIO_UTILISATION + allowance) {
            return false;
        }
        retriesAtMillis.addLast(nowMillis);
        return true;
    }

    private void expire(long nowMillis) {
        long oldestMillis = nowMillis - windowMillis;
        while (!requestsAtMillis.isEmpty() && requestsAtMillis.peekFirst() < oldestMillis) {
            requestsAtMillis.removeFirst();
        }
        while (!retriesAtMillis.isEmpty() && retriesAtMillis.peekFirst() < oldestMillis) {
            retriesAtMillis.removeFirst();
        }
    }
}
