package org.whinwharf.owner;

import org.whinwharf.wire.schema.Timing;

/**
 * Durations from the document, with margins for the difference in rate between clocks.
 *
 * @param grantMillis validity of a grant
 * @param pledgeMillis validity of a pledge
 * @param listLagMillis upper bound on the lag of the host list
 * @param loadLagMillis upper bound on the lag of a target's reported load
 * @param clockRatePpm upper bound on the difference in rate between two clocks, in parts per million
 * @param floorWaitMillis maximum time for which an owner waits for other owners to clear a floor before it sheds
 */
public record Timings(
        long grantMillis,
        long pledgeMillis,
        long listLagMillis,
        long loadLagMillis,
        int clockRatePpm,
        long floorWaitMillis) {
    /**
     * Maximum time from sending a request, at the latest when its grant expires, until the target counts the request.
     */
    public static final long MAX_TRANSIT_MILLIS = 250;

    private static final long MAX_LOAD_AGE_FACTOR = 3;
    private static final double PARTS_PER_MILLION = 1_000_000;

    /**
     * Creates the timings from a document.
     *
     * @param timing timings of the document, with default values filled in
     * @return the timings
     */
    public static Timings of(Timing timing) {
        return new Timings(
                timing.getGrantMillis(),
                timing.getPledgeMillis(),
                timing.getListLagMillis(),
                timing.getLoadLagMillis(),
                timing.getClockRatePpm(),
                timing.getFloorWaitMillis());
    }

    /**
     * Returns the maximum duration by this clock of a duration measured by another clock.
     *
     * @param millis duration by the other clock, in milliseconds
     * @return upper bound in milliseconds
     */
    public long upperBoundMillis(long millis) {
        return millis + (long) Math.ceil(millis * (clockRatePpm / PARTS_PER_MILLION));
    }

    /**
     * Returns the minimum duration by this clock of a duration measured by another clock.
     *
     * @param millis duration by the other clock, in milliseconds
     * @return lower bound in milliseconds
     */
    public long lowerBoundMillis(long millis) {
        return millis - (long) Math.ceil(millis * (clockRatePpm / PARTS_PER_MILLION));
    }

    /**
     * Returns the time after which a grant can no longer cause a request to arrive at its target.
     *
     * @return milliseconds since the grant, by the owner's clock
     */
    public long grantExpiryMillis() {
        return upperBoundMillis(grantMillis) + MAX_TRANSIT_MILLIS;
    }

    /**
     * Returns the maximum age of a load reading; a target without a newer reading receives no requests.
     *
     * @return milliseconds
     */
    public long maxLoadAgeMillis() {
        return MAX_LOAD_AGE_FACTOR * Math.max(loadLagMillis, grantMillis);
    }
}
