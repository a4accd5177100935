package org.whinwharf.traffic.coordination;

/** Receives changes of the learned limits of targets. */
@FunctionalInterface
public interface LimitListener {
    /** A listener that ignores all changes. */
    LimitListener NONE = (service, targetId, previous, limit, paceMillis, occupancy, samples) -> {};

    /**
     * Handles a changed limit.
     *
     * @param service name of the service
     * @param targetId id of the target
     * @param previous limit before in requests; 0 if there was none
     * @param limit limit now in requests; 0 if there is none
     * @param paceMillis mean time between the events of the answer that changed it, in milliseconds
     * @param occupancy mean number of requests at the target during that answer, divided by its slots
     * @param samples number of answers that the limit is based on
     */
    void limitChanged(
            String service, String targetId, int previous, int limit, double paceMillis, double occupancy, int samples);
}
