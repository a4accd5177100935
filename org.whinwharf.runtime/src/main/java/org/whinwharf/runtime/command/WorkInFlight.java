package org.whinwharf.runtime.command;

import java.util.List;

/**
 * Work that a planned stop has not ended.
 *
 * @param requests number of requests that this process has accepted for callers and that have not ended
 * @param queuedRequests number of requests that wait here and were not sent to a target
 * @param answers number of answers that were not written whole to their callers
 * @param slices slices that were not handed over, each as service/dataCentre/index
 */
public record WorkInFlight(int requests, int queuedRequests, int answers, List<String> slices) {
    /**
     * Creates the description.
     *
     * @param requests number of requests that this process has accepted for callers and that have not ended
     * @param queuedRequests number of requests that wait here and were not sent to a target
     * @param answers number of answers that were not written whole to their callers
     * @param slices slices that were not handed over, each as service/dataCentre/index
     */
    public WorkInFlight {
        slices = List.copyOf(slices);
    }
}
