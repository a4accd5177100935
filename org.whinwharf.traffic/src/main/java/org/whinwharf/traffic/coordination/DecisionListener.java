package org.whinwharf.traffic.coordination;

import org.whinwharf.traffic.placement.Candidate;

/** Receives the decisions of a coordinator on placement requests. */
public interface DecisionListener {
    /**
     * Handles a grant. The requester may send the request to the target now.
     *
     * @param request placement request
     * @param candidate selected target
     */
    void granted(PlacementRequest request, Candidate candidate);

    /**
     * Handles that a request is queued until a target accepts it.
     *
     * @param request placement request
     */
    void queued(PlacementRequest request);

    /**
     * Handles the rejection of a request that found no target in time or was evicted by a request of a higher tier.
     *
     * @param request placement request
     * @param details reason and Retry-After delay
     */
    void shed(PlacementRequest request, RejectionDetails details);

    /**
     * Handles the rejection of a request that exceeds the quota of its organisation.
     *
     * @param request placement request
     * @param details reason and Retry-After delay
     */
    void overQuota(PlacementRequest request, RejectionDetails details);

    /**
     * Handles that a request is not placed, because too many targets have crashed under it.
     *
     * @param request placement request
     * @param retryAfterMillis time until it may be placed again, in milliseconds
     */
    void quarantined(PlacementRequest request, long retryAfterMillis);
}
