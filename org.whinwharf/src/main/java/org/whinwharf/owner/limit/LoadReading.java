package org.whinwharf.owner.limit;

import java.util.List;
import org.whinwharf.wire.schema.TargetLoad;

/**
 * Load reported by a target, with bounds on the time of its measurement.
 *
 * @param startNumber number that changes with each start of the target
 * @param total requests that run or are queued at the target
 * @param queued requests that the target has admitted but not started
 * @param earliestMillis earliest possible time of the measurement, by the owner's monotonic clock
 * @param latestMillis latest possible time of the measurement, by the owner's monotonic clock
 * @param models models that the target serves; empty when the target does not report them
 */
public record LoadReading(
        long startNumber, int total, int queued, long earliestMillis, long latestMillis, List<String> models) {
    /**
     * Creates a reading from a target's response.
     *
     * @param load response of the target
     * @param requestedAtMillis when the load was requested
     * @param receivedAtMillis when the response was received
     * @return the reading
     */
    public static LoadReading of(TargetLoad load, long requestedAtMillis, long receivedAtMillis) {
        return new LoadReading(
                load.getStartNumber(),
                load.getRunning() + load.getQueued(),
                load.getQueued(),
                requestedAtMillis - load.getAgeMillis(),
                receivedAtMillis - load.getAgeMillis(),
                List.copyOf(load.getModelsList()));
    }
}
