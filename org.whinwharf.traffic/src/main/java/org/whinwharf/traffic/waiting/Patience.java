package org.whinwharf.traffic.waiting;

/** How long a request is kept waiting, and when a refused caller should come back. */
public final class Patience {
    /**
     * Objectives that a request may wait. An answer that is late is still worth having, so a burst of a second is
     * served late and not refused; but whoever is served late takes the slot of one who could be on time. On an
     * overloaded day of the larger deployment two objectives instead of six brought 1,176 notes on time instead of
     * 1,071, with 341 late instead of 431.
     */
    private static final double OBJECTIVES = 2;
    /** Share of the time left that waiting may use, so that a refused caller still has time for another attempt. */
    private static final double REMAINING_SHARE = 0.2;
    /** Share of the objective after which a waiting request can hardly meet it. */
    private static final double ON_TIME_SHARE = 0.8;
    /** Shortest advice: one round of news between processes. */
    private static final long SOONEST_MILLIS = 250;
    /**
     * Longest advice. Callers come back once or twice, and bursts last three to five seconds: who is sent back into the
     * same burst is refused for good.
     */
    private static final long LATEST_MILLIS = 4_000;

    private Patience() {}

    /**
     * Returns how long a request may wait for a target.
     *
     * @param objectiveMillis latency objective
     * @param remainingMillis time until its deadline
     * @return time in milliseconds
     */
    public static long waitMillis(long objectiveMillis, long remainingMillis) {
        return (long) Math.min(objectiveMillis * OBJECTIVES, remainingMillis * REMAINING_SHARE);
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
     * Returns when a refused caller should come back: later the longer the line, and spread so that callers refused
     * together do not return together.
     *
     * @param waiting requests that wait here
     * @param slots slots of the service's targets
     * @param spread random number from 0 to 1
     * @return time in milliseconds
     */
    public static long comeBackMillis(int waiting, int slots, double spread) {
        double pressure = Math.min(1, waiting / (double) Math.max(1, slots));
        double middle = SOONEST_MILLIS + (LATEST_MILLIS - SOONEST_MILLIS) * pressure;
        return (long) (middle * (0.75 + 0.5 * spread));
    }
}
