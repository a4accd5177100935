package org.whinwharf.traffic.waiting;

/** Receives lasting changes of the time for which the requests of a rank hold a slot. */
@FunctionalInterface
public interface HoldTimeListener {
    /** A listener that ignores all changes. */
    HoldTimeListener NONE = (tierRank, previousMillis, holdMillis) -> {};

    /**
     * Handles a change.
     *
     * @param tierRank rank of the requests
     * @param previousMillis average hold time reported before in milliseconds; 0 for the first report
     * @param holdMillis average hold time now in milliseconds
     */
    void holdTimeChanged(int tierRank, double previousMillis, double holdMillis);
}
