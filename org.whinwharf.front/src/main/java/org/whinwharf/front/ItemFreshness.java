package org.whinwharf.front;

/** Reports how fresh the published items of this process are, based on the local watch or on the answers of peers. */
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
     * @return milliseconds; 0 in an outage long enough for entries to expire, {@link Long#MAX_VALUE} when no outage is
     *     known or the last one ended long ago
     */
    long readableForMillis();

    /**
     * Tells whether the local watch of the publishing service works and continues.
     *
     * @return true while the watch works and this process still has the watcher role
     */
    boolean watchHealthy();
}
