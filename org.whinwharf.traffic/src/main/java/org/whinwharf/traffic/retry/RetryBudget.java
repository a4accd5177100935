package org.whinwharf.traffic.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of this process.
 *
 * <p>When a service fails, retries multiply its load at the worst time. The fleet-wide limit is a ratio of the requests
 * plus a fixed allowance. Each process applies the ratio to its own requests and uses its part of the allowance, so the
 * limit holds without communication between processes.
 */
public final class RetryBudget {
    /** Part of the allowed ratio that is used; the rest is slack for requests that ended elsewhere in the window. */
    private static final double RATIO_UTILISATION = 0.7;

    private double ratio;
    private long windowMillis;
    private final Deque<Long> requestsAtMillis = new ArrayDeque<>();
    private final Deque<Long> retriesAtMillis = new ArrayDeque<>();
    /** Those of the retries that may use a part of the budget only. */
    private final Deque<Long> partialRetriesAtMillis = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio maximum retries per request, over the whole fleet
     * @param windowMillis window in milliseconds over which requests and retries are counted
     */
    public RetryBudget(double ratio, long windowMillis) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
    }

    /**
     * Changes the limits; what was counted in the window still counts.
     *
     * @param newRatio maximum retries per request, over the whole fleet
     * @param newWindowMillis window in milliseconds over which requests and retries are counted
     */
    public void updateLimits(double newRatio, long newWindowMillis) {
        ratio = newRatio;
        windowMillis = newWindowMillis;
    }

    /**
     * Returns the limit that grows with the requests.
     *
     * @return maximum retries per request, over the whole fleet
     */
    public double ratio() {
        return ratio;
    }

    /**
     * Records a caller's request.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordRequest(long nowMillis) {
        requestsAtMillis.addLast(nowMillis);
        expire(nowMillis);
    }

    /**
     * Takes one retry from the budget.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param allowance this process's part of the fixed allowance
     * @return true when the retry may be sent
     */
    public boolean tryRetry(long nowMillis, double allowance) {
        return tryRetry(nowMillis, allowance, 1);
    }

    /**
     * Takes one retry of those that together may use a part of the budget only, and leave the rest to others.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param allowance this process's part of the fixed allowance
     * @param share part of the budget up to which such retries in the window may add up, at most 1
     * @return true when the retry may be sent
     */
    public boolean tryRetry(long nowMillis, double allowance, double share) {
        expire(nowMillis);
        double budget = requestsAtMillis.size() * ratio * RATIO_UTILISATION + allowance;
        boolean partial = share < 1;
        if (retriesAtMillis.size() + 1 > budget || partial && partialRetriesAtMillis.size() + 1 > budget * share) {
            return false;
        }
        retriesAtMillis.addLast(nowMillis);
        if (partial) {
            partialRetriesAtMillis.addLast(nowMillis);
        }
        return true;
    }

    /**
     * Returns a retry to the budget, because it was not sent.
     *
     * @param takenAtMillis monotonic time in milliseconds at which it was taken
     */
    public void cancelRetry(long takenAtMillis) {
        cancelRetry(takenAtMillis, 1);
    }

    /**
     * Returns a retry that was not sent after all.
     *
     * @param takenAtMillis monotonic time in milliseconds at which it was taken
     * @param share part of the budget of which it was taken
     */
    public void cancelRetry(long takenAtMillis, double share) {
        boolean inWindow = retriesAtMillis.removeLastOccurrence(takenAtMillis);
        if (inWindow && share < 1) {
            partialRetriesAtMillis.removeLastOccurrence(takenAtMillis);
        }
    }

    /**
     * Returns the number of requests in the window that ended at the latest request or retry.
     *
     * @return requests of callers
     */
    public int requests() {
        return requestsAtMillis.size();
    }

    /**
     * Returns the number of retries in the window that ended at the latest request or retry.
     *
     * @return retries
     */
    public int retries() {
        return retriesAtMillis.size();
    }

    private void expire(long nowMillis) {
        long oldestMillis = nowMillis - windowMillis;
        removeBefore(oldestMillis, requestsAtMillis);
        removeBefore(oldestMillis, retriesAtMillis);
        removeBefore(oldestMillis, partialRetriesAtMillis);
    }

    private static void removeBefore(long oldestMillis, Deque<Long> timesMillis) {
        while (!timesMillis.isEmpty() && timesMillis.peekFirst() < oldestMillis) {
            timesMillis.removeFirst();
        }
    }
}
