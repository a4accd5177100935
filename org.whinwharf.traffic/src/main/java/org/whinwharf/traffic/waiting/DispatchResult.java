package org.whinwharf.traffic.waiting;

/** What came of trying to send a waiting request. */
public enum DispatchResult {
    /** It no longer waits. */
    SENT,
    /** No target may take it now; what keeps it waiting mostly keeps all with the same needs. */
    NO_TARGET,
    /** It waits for a better target than those that are free, which says nothing of others. */
    HELD;

    /**
     * Tells whether it still waits.
     *
     * @return false once it is sent
     */
    public boolean stillQueued() {
        return this != SENT;
    }
}
