package org.whinwharf.front;

/**
 * Limits of a test fleet's routes and of its retries.
 *
 * @param attempts maximum number of targets to which the fleet's routes send one attempt
 * @param timeoutMillis timeout of the routes in milliseconds
 * @param objectiveMillis latency objective of the routes in milliseconds
 * @param retryRatio maximum retries per request
 * @param retryAllowance maximum retries beyond that, of all fronts together
 */
record FleetLimits(int attempts, long timeoutMillis, long objectiveMillis, double retryRatio, double retryAllowance) {
    /** Limits that no retry exceeds. */
    static final FleetLimits DEFAULT = new FleetLimits(3, 5_000, 500, 1, 100);

    FleetLimits withAttempts(int maxAttempts) {
        return new FleetLimits(maxAttempts, timeoutMillis, objectiveMillis, retryRatio, retryAllowance);
    }
}
