package org.whinwharf.traffic.waiting;

/** Result of an attempt to dispatch a queued request. */
public enum DispatchResult {
    /** The request was dispatched and has left the queue. */
    SENT,
    /** No target accepts the request now. Other requests for the same model usually have no target either. */
    NO_TARGET,
    /** The request waits for a faster target than the free ones. Other requests may still be dispatched. */
    HELD;

    /**
     * Tells whether the request is still queued.
     *
     * @return false if the request was dispatched
     */
    public boolean stillQueued() {
        return this != SENT;
    }
}
