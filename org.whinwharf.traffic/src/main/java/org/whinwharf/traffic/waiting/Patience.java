package org.whinwharf.traffic.waiting;

import org.whinwharf.traffic.catalog.RouteKind;

/** How long a request is kept waiting, and when a refused caller should come back. */
public final class Patience {
    /**
     * Share of the objective that a request may wait: after it, even an idle target would hardly meet the objective.
     */
    private static final double OBJECTIVE_SHARE = 0.6;
    /** Share of the time left that waiting may use, so that a refused caller still has time for another attempt. */
    private static final double REMAINING_SHARE = 0.3;
    /** Shortest advice: one round of news between processes. */
    private static final long SOONEST_MILLIS = 250;
    /** Longest advice: about the time a short stream holds a slot. */
    private static final long LATEST_MILLIS = 1_500;

    private Patience() {}

    /**
     * Returns how long a request may wait for a target.
     *
     * @param kind kind of its route
     * @param objectiveMillis latency objective
     * @param remainingMillis time until its deadline
     * @return time in milliseconds
     */
    public static long waitMillis(RouteKind kind, long objectiveMillis, long remainingMillis) {
        return (long) Math.min(objectiveMillis * OBJECTIVE_SHARE, remainingMillis * REMAINING_SHARE);
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
