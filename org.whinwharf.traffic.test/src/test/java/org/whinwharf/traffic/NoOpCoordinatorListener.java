package org.whinwharf.traffic;

import org.whinwharf.traffic.coordination.DecisionListener;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.TargetOutcomeListener;

/** Takes a coordinator's decisions where a test looks at grants, and ignores all others. */
abstract class NoOpCoordinatorListener implements DecisionListener, TargetOutcomeListener {
    @Override
    public void queued(PlacementRequest ask) {}

    @Override
    public void shed(PlacementRequest ask, RejectionDetails grounds) {}

    @Override
    public void overQuota(PlacementRequest ask, RejectionDetails grounds) {}

    @Override
    public void answered(String targetId) {}

    @Override
    public void erred(String targetId) {}

    @Override
    public void failed(String targetId, boolean certain) {}
}
