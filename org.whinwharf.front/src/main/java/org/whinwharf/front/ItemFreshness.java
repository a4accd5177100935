package org.whinwharf.front;

/** How fresh the published items of this process are, by its own watch or by what peers said of theirs. */
interface ItemFreshness {
    /**
     * Returns how long ago the items were known to be the newest.
     *
     * @return milliseconds; since the start of the clock before the first answer
     */
    long ageMillis();

    /**
     * Returns for how long the service has been readable.
     *
     * @return milliseconds; 0 while it is not, {@link Long#MAX_VALUE} when it always was, or that is long ago
     */
    long readableForMillis();

    /**
     * Tells whether the own watch works and goes on.
     *
     * @return true when it does
     */
    boolean watchHealthy();
}
