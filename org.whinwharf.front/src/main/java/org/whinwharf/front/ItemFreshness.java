package org.whinwharf.front;

/** Reports how fresh the published items of this process are, based on its own watch or on the answers of peers. */
interface ItemFreshness {
    /**
     * Returns the time since the items were last confirmed to be current.
     *
     * @return milliseconds; counted from the origin of the clock until the first answer arrives
     */
    long ageMillis();

    /**
     * Returns how long the publishing service has been readable without interruption.
     *
     * @return milliseconds; 0 while it is unreadable, {@link Long#MAX_VALUE} when no outage is known or the last one
     *     ended long ago
     */
    long readableForMillis();

    /**
     * Tells whether this process watches the publishing service, successfully, and continues to do so.
     *
     * @return true while the local watch works and this process is to keep it
     */
    boolean watchHealthy();
}
