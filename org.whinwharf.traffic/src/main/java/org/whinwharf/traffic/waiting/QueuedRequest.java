package org.whinwharf.traffic.waiting;

import org.whinwharf.traffic.share.SharedRequest;

/** A request that is queued until a target accepts it. */
public interface QueuedRequest extends SharedRequest {
    /**
     * Returns the rank of the request.
     *
     * @return rank; 0 is served first
     */
    int tierRank();

    /**
     * Returns the time at which the request is rejected if it is still queued.
     *
     * @return monotonic time in milliseconds
     */
    long queueTimeoutAtMillis();

    /**
     * Returns the earlier time at which the request is rejected if the queue has a backlog.
     *
     * @return monotonic time in milliseconds
     */
    long backlogTimeoutAtMillis();

    /**
     * Returns the time until which the request can still meet its latency objective.
     *
     * @return monotonic time in milliseconds
     */
    long onTimeUntilMillis();

    /**
     * Returns the time by which requests of one rank are ordered: the arrival less the head start of a short request.
     *
     * @return monotonic time in milliseconds
     */
    long orderMillis();

    /**
     * Returns the model that the request requires. Requests of one rank that require the same model usually either all
     * find a target or all find none.
     *
     * @return name of the model; empty if any target is suitable
     */
    String requiredModel();

    /**
     * Tells whether only targets of one software version are suitable, as the request resumes a stream, or a target of
     * that version may still work on it. It precedes the other requests of its rank, whose targets it might otherwise
     * never get, and holds up none of them. The answer may change while the request is queued.
     *
     * @return true if it needs targets of one version
     */
    default boolean needsOneVersion() {
        return false;
    }

    /**
     * Tries to dispatch the request.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return result of the attempt
     */
    DispatchResult tryDispatch(long nowMillis);

    /**
     * Rejects the request because its queue timeout has expired or the queue is full.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    void reject(long nowMillis);
}
