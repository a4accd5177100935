package org.whinwharf.platform.fleet;

/** What a fleet bears beside the faults of each play. */
enum Strain {
    /** Fronts are stopped for a while and go on. */
    FROZEN,
    /** Between a front and a worker one direction is silent for a while, ends of connections included. */
    SILENT,
    /** Some fronts cannot connect to several places of workers. */
    RELAYED
}
