package org.whinwharf.owner;

/** What a scheduler counts. */
public enum SchedulerCounter {
    /** Grants given, by tier rank. */
    GRANTED,
    /** Grants that came back unused, by tier rank. */
    UNUSED,
    /** Grants called back, by tier rank. */
    RECALLED,
    /** Refusals, by reason. */
    REFUSED,
    /** Requests shed before all others had cleared lower tiers, since the queue was at its hard bound; by tier rank. */
    SHED_BEFORE_FLOOR,
    /** Floors raised, by tier rank. */
    FLOOR_RAISED,
    /** Requests that ended, by how. */
    FINISHED
}
