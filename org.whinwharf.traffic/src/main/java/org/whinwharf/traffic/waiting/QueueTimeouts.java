package org.whinwharf.traffic.waiting;

/** How long a request is kept waiting, and when a refused caller should come back. */
public final class QueueTimeouts {
    /**
     * Objectives that a request may wait. An answer that is late is still worth having, so a burst of a second is
     * served late and not refused; but whoever is served late takes the slot of one who could be on time.
     */
    private static final double MAX_OBJECTIVES = 2;
    /** Share of the time left that waiting may use, so that a refused caller still has time for another attempt. */
    private static final double REMAINING_SHARE = 0.2;
    /** Share of the objective after which a waiting request can hardly meet it. */
    private static final double ON_TIME_SHARE = 0.8;
    /**
     * Share of the time in which a request can be on time that it may wait in a standing line. A line that never
     * empties fills every slot whatever its length. A longer one serves nobody more: those who are served are served
     * later, and those who are refused hear it later.
     */
    private static final double BACKLOG_SHARE = 0.5;
    /** Shortest advice: one round of news between processes. */
    private static final long MIN_RETRY_AFTER_MILLIS = 250;
    /** Longest advice: a caller that waits longer has mostly run out of its own time. */
    private static final long MAX_RETRY_AFTER_MILLIS = 8_000;

    private QueueTimeouts() {}

    /**
     * Returns how long a request may wait for a target.
     *
     * @param objectiveMillis latency objective
     * @param remainingMillis time until its deadline
     * @return time in milliseconds
     */
    public static long queueTimeoutMillis(long objectiveMillis, long remainingMillis) {
        return (long) Math.min(objectiveMillis * MAX_OBJECTIVES, remainingMillis * REMAINING_SHARE);
    }

    /**
     * Returns until when a waiting request counts as on time and goes before those that are late already.
     *
     * @param objectiveMillis latency objective
     * @return time from its arrival in milliseconds
     */
    public static long onTimeMillis(long objectiveMillis) {
        return (long) (objectiveMillis * ON_TIME_SHARE);
    }

    /**
     * Returns how long a request may wait in a line that has not emptied for long.
     *
     * @param onTimeMillis time for which it goes before those that are late
     * @return time in milliseconds
     */
    public static long backlogTimeoutMillis(long onTimeMillis) {
        return (long) (onTimeMillis * BACKLOG_SHARE);
    }

    /**
     * Returns when a refused caller should come back. How long an overload lasts is not known, but one that has lasted
     * for long mostly goes on for about as long again: who is sent back into it is refused for good. Spread, so that
     * callers refused together do not return together.
     *
     * @param standingMillis time for which the line has not emptied
     * @param spread random number from 0 to 1
     * @return time in milliseconds
     */
    public static long retryAfterMillis(long standingMillis, double spread) {
        long middle = Math.min(MAX_RETRY_AFTER_MILLIS, MIN_RETRY_AFTER_MILLIS + standingMillis);
        return (long) (middle * (0.75 + 0.5 * spread));
    }
}
