package org.whinwharf.owner.limit;

import java.util.List;
import org.whinwharf.wire.schema.TargetLoad;

/**
 * Load that a target reported.
 *
 * @param startNumber differs after each start of the target
 * @param total requests running and queued there
 * @param queued requests that the target had admitted but not begun
 * @param earliestMillis earliest instant at which it can have been measured, by the owner's clock
 * @param latestMillis latest instant at which it can have been measured, by the owner's clock
 * @param models models that the target serves; empty when it does not say
 */
public record LoadReading(
        long startNumber, int total, int queued, long earliestMillis, long latestMillis, List<String> models) {
    /**
     * Reads an answer of a target.
     *
     * @param load the answer
     * @param requestedAtMillis when it was asked
     * @param receivedAtMillis when the answer came
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
