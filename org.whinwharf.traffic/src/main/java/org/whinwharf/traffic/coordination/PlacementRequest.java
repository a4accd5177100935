package org.whinwharf.traffic.coordination;

import java.util.Optional;
import org.immutables.value.Value;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.placement.Demand;

/** A process's request to the coordinator to place one request at a target. */
@Value.Immutable
public interface PlacementRequest {
    /**
     * Returns the process that requests the placement.
     *
     * @return name of the process
     */
    String requester();

    /**
     * Returns the id of the placement request.
     *
     * @return id, unique among the placement requests of its process
     */
    long id();

    /**
     * Returns the requirements of the request. Its remaining time is that at the time of the placement request.
     *
     * @return demand
     */
    Demand demand();

    /**
     * Returns the deadline for the complete answer.
     *
     * @return monotonic time of the coordinator in milliseconds
     */
    long deadlineAtMillis();

    /**
     * Returns the time at which the request is rejected if it is still queued.
     *
     * @return monotonic time of the coordinator in milliseconds
     */
    long queueTimeoutAtMillis();

    /**
     * Returns the time until which the request can still meet its latency objective.
     *
     * @return monotonic time of the coordinator in milliseconds
     */
    long onTimeUntilMillis();

    /**
     * Returns the organisation whose quota the request uses.
     *
     * @return name of the organisation; empty if there is none or the quota was already charged
     */
    Optional<String> organisation();

    /**
     * Returns the organisation of the request if its quota was already charged.
     *
     * @return name of the organisation; empty if there is none, it is unknown or its quota is to be charged
     */
    Optional<String> chargedOrganisation();

    /**
     * Returns the organisation in whose share the request is served.
     *
     * @return name of the organisation; empty if there is none or it is unknown
     */
    default Optional<String> sharingOrganisation() {
        return organisation().or(this::chargedOrganisation);
    }

    /**
     * Returns the content of the request if a target may have crashed under it.
     *
     * @return fingerprint; empty if the request is no suspect
     */
    Optional<Fingerprint> suspect();

    /**
     * Returns the amount that the request uses of the quota.
     *
     * @return amount in tokens
     */
    @Value.Default
    default long quotaTokens() {
        return 0;
    }
}
