package org.whinwharf.standin.internal;

/** Counts calls and refuses those beyond a rate, by whole seconds. */
final class RateLimit {
    private static final long SECOND_MILLIS = 1000;

    private final double perSecond;
    private long windowMillis = Long.MIN_VALUE;
    private int inWindow;
    private long calls;
    private long refused;
    private int busiestSecond;

    RateLimit(double perSecond) {
        this.perSecond = perSecond;
    }

    synchronized boolean admit(long nowMillis) {
        long window = Math.floorDiv(nowMillis, windowLengthMillis());
        if (window != windowMillis) {
            windowMillis = window;
            inWindow = 0;
        }
        calls++;
        inWindow++;
        busiestSecond = Math.max(busiestSecond, inWindow);
        boolean admitted = inWindow <= Math.max(1, perSecond);
        refused += admitted ? 0 : 1;
        return admitted;
    }

    synchronized Counters counters() {
        return new Counters(calls, refused, busiestSecond);
    }

    /** Rates below one a second are counted over as long as one call takes. */
    private long windowLengthMillis() {
        return perSecond >= 1 ? SECOND_MILLIS : Math.round(SECOND_MILLIS / perSecond);
    }

    /**
     * Counters of a rate limit.
     *
     * @param calls calls that came
     * @param refused calls that were refused
     * @param busiestWindow most calls in one second, or in one interval of a rate below one a second
     */
    record Counters(long calls, long refused, int busiestWindow) {}
}
