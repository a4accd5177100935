package org.whinwharf.platform.fleet;

/** What a play of stops has beside its stops. */
enum StopTrait {
    /** Workers have fewer slots than callers have requests, so that requests wait and are rejected. */
    QUEUES,
    /** Callers read large answers slowly. */
    SLOW_READERS,
    /** The grace time in the settings changes during the stop. */
    GRACE_CHANGES
}
