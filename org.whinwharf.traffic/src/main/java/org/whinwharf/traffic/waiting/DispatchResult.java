package org.whinwharf.traffic.waiting;

/** Result of an attempt to dispatch a queued request. */
public enum DispatchResult {
    /** The request was dispatched and has left the queue. */
    SENT,
    /** No target accepts the request now. Other requests for the same model usually have no target either. */
    NO_TARGET,
    /** The request waits for a certain target, such as a faster one than the free ones; other requests do not. */
    HELD,
    /** The request must not be dispatched; it was rejected and has left the queue. */
    REJECTED;

    /**
     * Tells whether the request is still queued.
     *
     * @return false if the request was dispatched or rejected
     */
    public boolean stillQueued() {
        return this == NO_TARGET || this == HELD;
    }
}
