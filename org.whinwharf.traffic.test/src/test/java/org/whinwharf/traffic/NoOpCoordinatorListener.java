package org.whinwharf.traffic;

import org.whinwharf.traffic.coordination.DecisionListener;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.TargetOutcomeListener;

/** Listener for the decisions and outcomes of a coordinator that ignores all of them except grants. */
abstract class NoOpCoordinatorListener implements DecisionListener, TargetOutcomeListener {
    @Override
    public void queued(PlacementRequest request) {}

    @Override
    public void shed(PlacementRequest request, RejectionDetails details) {}

    @Override
    public void overQuota(PlacementRequest request, RejectionDetails details) {}

    @Override
    public void quarantined(PlacementRequest request, long retryAfterMillis) {}

    @Override
    public void answered(String targetId) {}

    @Override
    public void erred(String targetId) {}

    @Override
    public void failed(String targetId, boolean conclusive, String reporter) {}

    @Override
    public void silent(String targetId, String reporter) {}

    @Override
    public void resumed(String targetId) {}
}
