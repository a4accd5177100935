package org.whinwharf.traffic.waiting;

/** A request that waits for a target. */
public interface QueuedRequest {
    /**
     * Returns its rank.
     *
     * @return rank; 0 is served first
     */
    int tierRank();

    /**
     * Returns until when it may be kept waiting.
     *
     * @return steady time in milliseconds
     */
    long queueTimeoutAtMillis();

    /**
     * Returns until when it may be kept waiting in a line that has not emptied for long.
     *
     * @return steady time in milliseconds
     */
    long backlogTimeoutAtMillis();

    /**
     * Returns until when it may meet its objective.
     *
     * @return steady time in milliseconds
     */
    long onTimeUntilMillis();

    /**
     * Returns what it needs of a target; requests with the same needs and rank mostly find one together or not at all.
     *
     * @return name of the model; empty when any target will do
     */
    String requiredModel();

    /**
     * Tries to send it.
     *
     * @param nowMillis steady time in milliseconds
     * @return what came of it
     */
    DispatchResult tryDispatch(long nowMillis);

    /**
     * Refuses it, since its patience ended.
     *
     * @param nowMillis steady time in milliseconds
     */
    void reject(long nowMillis);
}
