package org.whinwharf.order;

import org.whinwharf.wire.schema.Timing;

/**
 * Times that bound what an earlier steward can still do.
 *
 * @param maxListAgeMillis longest age of the host list at which a steward orders, by its own clock
 * @param orderTimeoutMillis longest that an order may take from its decision to its end
 * @param listLagMillis longest time from the publication of a host list until everyone who asks gets it
 * @param clockRatePpm most that the clocks of two hosts differ in rate, parts per million
 */
public record TakeoverTiming(long maxListAgeMillis, long orderTimeoutMillis, long listLagMillis, int clockRatePpm) {
    /** Age at which a steward stops to order. */
    public static final long MAX_LIST_AGE_MILLIS = 6_000;

    private static final double PARTS_PER_MILLION = 1_000_000.0;

    /**
     * Makes bounds from the document.
     *
     * @param timing timing of the document
     * @param orderTimeoutMillis longest that an order may take
     * @return bounds
     */
    public static TakeoverTiming of(Timing timing, long orderMillis) {
        return new TakeoverTiming(
                MAX_LIST_AGE_MILLIS, orderMillis, timing.getListLagMillis(), timing.getClockRatePpm());
    }

    /**
     * Returns how long a new steward waits until the earlier one has certainly sent its last order and that order has
     * ended.
     *
     * <p>The earlier one may get the old list until the lag has passed, order until that is too old, and its last order
     * may take its full time.
     *
     * @return milliseconds by the new steward's clock
     */
    public long takeoverDelayMillis() {
        long sumMillis = listLagMillis + maxListAgeMillis + orderTimeoutMillis;
        return (long) Math.ceil(sumMillis * (1 + 2 * clockRatePpm / PARTS_PER_MILLION));
    }
}
