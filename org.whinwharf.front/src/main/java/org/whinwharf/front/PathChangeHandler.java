package org.whinwharf.front;

import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.path.PathListener;

/** Applies changes of the paths to the connections, and logs them. */
final class PathChangeHandler implements PathListener {
    private final TargetRegistry targets;
    private final Ticker ticker;
    private final Runnable reachChanged;

    PathChangeHandler(TargetRegistry targets, Ticker ticker, Runnable reachChanged) {
        this.targets = targets;
        this.ticker = ticker;
        this.reachChanged = reachChanged;
    }

    @Override
    public void pathLost(String targetId, String peer) {
        FrontLog.pathLost(targetId, peer, targets.reach(""));
        closeIdle(targetId);
    }

    @Override
    public void pathRestored(String targetId) {
        FrontLog.pathRestored(targetId);
        closeIdle(targetId);
    }

    /** Closes idle connections, so that requests use the way that is right now. */
    private void closeIdle(String targetId) {
        TargetEntry entry = targets.entry(targetId);
        if (entry != null) {
            entry.pool().closeIdle();
        }
    }

    @Override
    public void partitionBegan() {
        FrontLog.partitionBegan(targets.reach(""));
        targets.all().forEach(entry -> entry.pool().closeIdle());
        reachChanged.run();
    }

    @Override
    public void partitionEnded() {
        FrontLog.partitionEnded();
        long nowMillis = ticker.nowMillis();
        targets.all().forEach(entry -> {
            entry.pool().closeIdle();
            entry.state().health().probeSoon(nowMillis);
        });
        reachChanged.run();
    }
}
