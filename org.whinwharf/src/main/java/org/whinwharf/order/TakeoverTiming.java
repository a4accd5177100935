package org.whinwharf.order;

import org.whinwharf.wire.schema.Timing;

/**
 * Time limits from which a new steward computes how long the orders of its predecessor can still take effect.
 *
 * @param maxListAgeMillis longest time since the last confirmation of the host list during which a steward sends
 *     orders, on its own monotonic clock
 * @param orderTimeoutMillis longest time that an order takes from the decision to its end
 * @param listLagMillis longest time from the publication of a host list until every query returns it
 * @param clockRatePpm largest difference in rate between the clocks of two hosts, in parts per million
 */
public record TakeoverTiming(long maxListAgeMillis, long orderTimeoutMillis, long listLagMillis, int clockRatePpm) {
    /** Time since the last confirmation of the host list after which a steward sends no more orders. */
    public static final long MAX_LIST_AGE_MILLIS = 6_000;

    private static final double PARTS_PER_MILLION = 1_000_000.0;

    /**
     * Creates the limits from the document's timing.
     *
     * @param timing timing section of the document
     * @param orderTimeoutMillis longest time that an order takes
     * @return limits
     */
    public static TakeoverTiming of(Timing timing, long orderTimeoutMillis) {
        return new TakeoverTiming(
                MAX_LIST_AGE_MILLIS, orderTimeoutMillis, timing.getListLagMillis(), timing.getClockRatePpm());
    }

    /**
     * Returns how long a new steward waits before its first order, so that the last order of its predecessor has
     * certainly ended.
     *
     * <p>The predecessor may read the old list until the list lag has passed, may send orders until that list is stale,
     * and its last order may take the whole order timeout. The sum is extended by twice the largest clock rate
     * difference.
     *
     * @return delay in milliseconds, on the new steward's monotonic clock
     */
    public long takeoverDelayMillis() {
        long sumMillis = listLagMillis + maxListAgeMillis + orderTimeoutMillis;
        return (long) Math.ceil(sumMillis * (1 + 2 * clockRatePpm / PARTS_PER_MILLION));
    }
}
