package org.whinwharf.owner;

import org.whinwharf.wire.schema.Timing;

/**
 * Times that the decisions use, with margins for clocks that differ in rate.
 *
 * @param grantMillis how long a grant lasts
 * @param pledgeMillis how long a pledge lasts
 * @param listLagMillis bound on the lag of the host list
 * @param loadLagMillis bound on the lag of a target's reported load
 * @param clockRatePpm bound on how much two clocks differ in rate, parts per million
 * @param floorWaitMillis how long an owner waits for others before it sheds
 */
public record Timings(
        long grantMillis,
        long pledgeMillis,
        long listLagMillis,
        long loadLagMillis,
        int clockRatePpm,
        long floorWaitMillis) {
    /** Time that a request sent in the last instant of its grant may take until its target counts it. */
    public static final long MAX_TRANSIT_MILLIS = 250;

    private static final long MAX_LOAD_AGE_FACTOR = 3;
    private static final double PARTS_PER_MILLION = 1_000_000;

    /**
     * Takes the times from the document.
     *
     * @param timing times of the document, absent values filled in
     * @return the times
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
     * Returns the longest that a duration measured by another clock can last by this one.
     *
     * @param millis duration by the other clock
     * @return upper bound in milliseconds
     */
    public long upperBoundMillis(long millis) {
        return millis + (long) Math.ceil(millis * (clockRatePpm / PARTS_PER_MILLION));
    }

    /**
     * Returns the shortest that a duration measured by another clock can last by this one.
     *
     * @param millis duration by the other clock
     * @return lower bound in milliseconds
     */
    public long lowerBoundMillis(long millis) {
        return millis - (long) Math.ceil(millis * (clockRatePpm / PARTS_PER_MILLION));
    }

    /**
     * Returns how long after its making a grant can still put a request at its target.
     *
     * @return milliseconds by the owner's clock
     */
    public long grantExpiryMillis() {
        return upperBoundMillis(grantMillis) + MAX_TRANSIT_MILLIS;
    }

    /**
     * Returns how old a reading of a target's load may be before the target counts as unknown.
     *
     * @return milliseconds
     */
    public long maxLoadAgeMillis() {
        return MAX_LOAD_AGE_FACTOR * Math.max(loadLagMillis, grantMillis);
    }
}
