package org.whinwharf.traffic.coordination;

import java.util.Optional;
import org.immutables.value.Value;
import org.whinwharf.traffic.placement.Demand;

/** What a process asks of the coordinator for one request. */
@Value.Immutable
public interface PlacementRequest {
    /**
     * Returns who asks.
     *
     * @return name of the process
     */
    String requester();

    /**
     * Returns the id of the ask.
     *
     * @return id, unique among the asks of its process
     */
    long id();

    /**
     * Returns what the request asks of a target; the time left is that at the moment of the ask.
     *
     * @return demand
     */
    Demand demand();

    /**
     * Returns when the request's final answer is due.
     *
     * @return monotonic time of the coordinator in milliseconds
     */
    long deadlineAtMillis();

    /**
     * Returns until when the request may wait.
     *
     * @return monotonic time of the coordinator in milliseconds
     */
    long queueTimeoutAtMillis();

    /**
     * Returns until when the request may meet its objective.
     *
     * @return monotonic time of the coordinator in milliseconds
     */
    long onTimeUntilMillis();

    /**
     * Returns whose quota the request uses.
     *
     * @return name of the organisation; empty when it was asked for before or there is none
     */
    Optional<String> organisation();

    /**
     * Returns what the request uses of the quota.
     *
     * @return use in the quota's unit
     */
    @Value.Default
    default long quotaTokens() {
        return 0;
    }
}
