package org.whinwharf.traffic.coordination;

/** Receives lasting changes of the work that a coordinator observes. */
@FunctionalInterface
public interface WorkListener {
    /** A listener that ignores all changes. */
    WorkListener NONE = (service, tierRank, previousMillis, holdMillis) -> {};

    /**
     * Handles a change of the time for which requests hold a slot.
     *
     * @param service name of the service
     * @param tierRank rank of the requests
     * @param previousMillis average reported before in milliseconds; 0 for the first report
     * @param holdMillis average now in milliseconds, on an idle engine of the assumed speed
     */
    void holdTimeChanged(String service, int tierRank, double previousMillis, double holdMillis);
}
