package org.whinwharf.front;

import java.util.Optional;
import java.util.function.Supplier;
import org.whinwharf.time.Ticker;

/** Finds out that paths to targets are lost before requests time out, and that lost paths work again. */
final class PathMonitor {
    /** Time without bytes from any target, while responses are awaited, after which a path is checked. */
    private static final long SILENCE_TIMEOUT_MILLIS = 300;
    /** Maximum number of lost paths that are tried again at a time. */
    private static final int MAX_RECHECKS = 8;
    /** Number of targets that a partitioned process tries at a time. */
    private static final int PARTITION_RECHECKS = 2;

    private final TargetRegistry targets;
    private final OwnReach ownReach;
    private final Ticker ticker;
    private final Supplier<Optional<TargetEntry>> awaitedTarget;
    private long silenceCheckedAtMillis;

    /**
     * Creates a monitor.
     *
     * @param awaitedTarget returns a target from which a response is awaited over a direct connection
     */
    PathMonitor(
            TargetRegistry targets, OwnReach ownReach, Ticker ticker, Supplier<Optional<TargetEntry>> awaitedTarget) {
        this.targets = targets;
        this.ownReach = ownReach;
        this.ticker = ticker;
        this.awaitedTarget = awaitedTarget;
    }

    /** Checks a path if nothing was received from any target for a while; the attempt itself records the outcome. */
    void checkSilence(long nowMillis) {
        long sinceMillis = nowMillis - SILENCE_TIMEOUT_MILLIS;
        if (targets.paths().partitioned()
                || targets.paths().reachedAnySince(sinceMillis)
                || silenceCheckedAtMillis > sinceMillis) {
            return;
        }
        awaitedTarget.get().ifPresent(entry -> {
            silenceCheckedAtMillis = nowMillis;
            entry.pool().connectAnew(result -> {});
        });
    }

    /** Tries lost paths again. */
    void recheckLostPaths() {
        if (targets.paths().partitioned()) {
            targets.sample(PARTITION_RECHECKS).forEach(this::recheck);
            return;
        }
        for (String targetId : targets.paths().dueForRecheck(MAX_RECHECKS, ticker.nowMillis())) {
            TargetEntry entry = targets.entry(targetId);
            if (entry == null) {
                targets.paths().forget(targetId);
            } else {
                recheck(entry);
            }
        }
    }

    private void recheck(TargetEntry entry) {
        ownReach.tryConnect(entry, reached -> {});
    }
}
