package org.whinwharf.traffic.share;

/** A queued request, as far as the shares of organisations depend on it. */
public interface SharedRequest {
    /**
     * Returns the organisation of the request. Requests of unknown organisations share one account.
     *
     * @return digest of the organisation's name; 0 if it has none or it is unknown
     */
    default int organisationDigest() {
        return 0;
    }

    /**
     * Returns the expected time for which the request holds a slot.
     *
     * @return time in milliseconds, above 0
     */
    default double expectedSlotMillis() {
        return 1;
    }
}
