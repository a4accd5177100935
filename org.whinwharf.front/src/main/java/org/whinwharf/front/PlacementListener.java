package org.whinwharf.front;

import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.wire.fleet.PlacementAsk;

/** A request that asked a coordinator for a target. */
interface PlacementListener {
    /** Returns the ask as it stands now: its times run from the moment it is sent. */
    PlacementAsk placementRequest(long id);

    /** Takes the ticket under which it is asked, before anything else. */
    void ticketIssued(PlacementTicket ticket);

    /** Takes a target; the request may be sent there now. */
    void granted(Candidate candidate);

    /** Takes that no target was found in time. */
    void shed(RejectionDetails grounds);

    /** Takes that the organisation's quota is used up. */
    void overQuota(RejectionDetails grounds);

    /** Takes that no coordinator answers: this process has to choose on its own. */
    void coordinatorUnavailable();
}
