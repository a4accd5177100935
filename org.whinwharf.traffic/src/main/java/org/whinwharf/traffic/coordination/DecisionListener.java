package org.whinwharf.traffic.coordination;

import org.whinwharf.traffic.placement.Candidate;

/** Takes what a coordinator decides. */
public interface DecisionListener {
    /**
     * Takes a grant: the asker may send its request to the target now.
     *
     * @param ask the ask
     * @param candidate the target
     */
    void granted(PlacementRequest ask, Candidate candidate);

    /**
     * Takes that a request waits for a target.
     *
     * @param ask the ask
     */
    void queued(PlacementRequest ask);

    /**
     * Takes that a request found no target in time, or made way for one of a higher tier.
     *
     * @param ask the ask
     * @param grounds why, and when its caller should come back
     */
    void shed(PlacementRequest ask, RejectionDetails grounds);

    /**
     * Takes that a request is over its organisation's quota.
     *
     * @param ask the ask
     * @param grounds why, and when its caller should come back
     */
    void overQuota(PlacementRequest ask, RejectionDetails grounds);
}
