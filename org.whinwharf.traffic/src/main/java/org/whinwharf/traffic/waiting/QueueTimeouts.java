package org.whinwharf.traffic.waiting;

/** Computes queue timeouts and the Retry-After delays of rejected requests. */
public final class QueueTimeouts {
    /**
     * Maximum wait as a multiple of the latency objective. A late answer is still useful, so a burst of a second is
     * served late instead of rejected. The wait is bounded because a late request takes the slot of a request that
     * could be on time.
     */
    private static final double MAX_OBJECTIVES = 2;
    /** Share of the remaining time that a request may wait, so that a rejected caller has time for another attempt. */
    private static final double REMAINING_SHARE = 0.2;
    /** Share of the objective after which a queued request can hardly meet it. */
    private static final double ON_TIME_SHARE = 0.8;
    /**
     * Share of its on-time period that a request may wait in a queue with a backlog. A queue that never empties keeps
     * every slot busy at any length. A longer queue serves no more requests; it only delays answers and rejections.
     */
    private static final double BACKLOG_SHARE = 0.5;
    /**
     * Head start of the shortest requests as a share of the on-time period. It is bounded because under overload an
     * unbounded one would leave no slot for long requests.
     */
    private static final double MAX_HEAD_START_SHARE = 0.25;
    /** Minimum Retry-After delay: one round of gossip. */
    private static final long MIN_RETRY_AFTER_MILLIS = 250;
    /** Maximum Retry-After delay: most callers that wait longer reach their own timeout. */
    public static final long MAX_RETRY_AFTER_MILLIS = 8_000;

    private QueueTimeouts() {}

    /**
     * Returns how long a request may be queued.
     *
     * @param objectiveMillis latency objective
     * @param remainingMillis time until the deadline of the request
     * @return queue timeout in milliseconds
     */
    public static long queueTimeoutMillis(long objectiveMillis, long remainingMillis) {
        return (long) Math.min(objectiveMillis * MAX_OBJECTIVES, remainingMillis * REMAINING_SHARE);
    }

    /**
     * Returns how long a queued request counts as on time. Requests on time are served before late ones.
     *
     * @param objectiveMillis latency objective
     * @return time from the arrival of the request in milliseconds
     */
    public static long onTimeMillis(long objectiveMillis) {
        return (long) (objectiveMillis * ON_TIME_SHARE);
    }

    /**
     * Returns how long a request may wait in a queue with a backlog.
     *
     * @param onTimeMillis time from arrival for which the request counts as on time
     * @return queue timeout in milliseconds
     */
    public static long backlogTimeoutMillis(long onTimeMillis) {
        return (long) (onTimeMillis * BACKLOG_SHARE);
    }

    /**
     * Returns the head start of a request in the queue of its rank.
     *
     * @param onTimeMillis time from arrival for which the request counts as on time
     * @param holdTimeRatio expected hold time of the request divided by the average of its route
     * @return time in milliseconds; 0 for a request that is as long as the average or longer
     */
    public static long headStartMillis(long onTimeMillis, double holdTimeRatio) {
        return (long) (Math.max(0, onTimeMillis) * MAX_HEAD_START_SHARE * Math.max(0, 1 - holdTimeRatio));
    }

    /**
     * Returns the Retry-After delay of a rejected request. The delay grows with the age of the backlog, because an
     * overload usually lasts about as long again as it has lasted so far, and a caller that retries during it is
     * rejected for good. Jitter keeps callers that were rejected together from retrying together.
     *
     * @param backlogAgeMillis time for which the queue has not emptied
     * @param jitter random number from 0 to 1
     * @return delay in milliseconds
     */
    public static long retryAfterMillis(long backlogAgeMillis, double jitter) {
        long meanMillis = Math.min(MAX_RETRY_AFTER_MILLIS, MIN_RETRY_AFTER_MILLIS + backlogAgeMillis);
        return (long) (meanMillis * (0.75 + 0.5 * jitter));
    }
}
