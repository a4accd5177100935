package org.whinwharf.front;

import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.wire.fleet.PlacementAsk;

/** Receives the outcome of a request's placement by a coordinator. */
interface PlacementListener {
    /** Returns the current placement request; its times are relative to the moment at which it is sent. */
    PlacementAsk placementRequest(long id);

    /** Receives the ticket of the placement, before any other call. */
    void ticketIssued(PlacementTicket ticket);

    /** Tells whether a target, as this process knows it, is suitable for the request. */
    boolean accepts(Target target);

    /** Receives the granted target, to which the request may now be sent. */
    void granted(Candidate candidate);

    /** Called when the coordinator sheds the request, since no target was found in time. */
    void shed(RejectionDetails details);

    /** Called when the request exceeds its organisation's quota. */
    void overQuota(RejectionDetails details);

    /** Called when too many targets have crashed under the request; it may be placed again after the given time. */
    void quarantined(long retryAfterMillis);

    /** Called when the granted target may not receive requests, as far as this process knows. */
    void grantUnusable(String targetId);

    /** Called when no coordinator replies: this process must place the request itself. */
    void coordinatorUnavailable();
}
