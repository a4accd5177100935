package org.whinwharf.owner;

/** Counters of a scheduler; the names of the constants give the names of the metrics. */
public enum SchedulerCounter {
    /** Grants sent, by tier rank. */
    GRANTED,
    /** Grants returned unused, by tier rank. */
    UNUSED,
    /** Grants recalled, by tier rank. */
    RECALLED,
    /** Refusals, by reason. */
    REFUSED,
    /**
     * Requests shed before all other owners had cleared lower tiers, because the queue was at its hard bound; by tier
     * rank.
     */
    SHED_BEFORE_FLOOR,
    /** Floors raised, by tier rank. */
    FLOOR_RAISED,
    /** Requests that ended, by finish kind. */
    FINISHED
}
