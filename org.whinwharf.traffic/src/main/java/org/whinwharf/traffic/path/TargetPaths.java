package org.whinwharf.traffic.path;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which targets this process reaches over connections of its own.
 *
 * <p>Reachability is a relation between a process and a target, and says nothing about the target itself: a target that
 * this process cannot reach may serve all others. It is therefore kept apart from the target's health. A path is lost
 * when a peer reaches the target and this process does not. The process is partitioned when it cannot reach several
 * targets at a time and receives nothing from any other.
 */
public final class TargetPaths {
    /** First interval between attempts to use a lost path again; it doubles after each attempt. */
    private static final long RECHECK_INTERVAL_MILLIS = 500;
    /** Maximum of this interval. */
    private static final long MAX_RECHECK_INTERVAL_MILLIS = 2_000;

    private final Map<String, Recheck> recheckByLostTarget = new LinkedHashMap<>();
    private final PathListener listener;
    private boolean partitioned;
    private long lastReachedAtMillis = Long.MIN_VALUE;

    /**
     * Creates an instance without lost paths.
     *
     * @param listener listener for changes
     */
    public TargetPaths(PathListener listener) {
        this.listener = listener;
    }

    /**
     * Records that bytes were received from a target over a connection of this process. It restores no path: open
     * connections may live on while new ones are refused.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void bytesReceived(long nowMillis) {
        lastReachedAtMillis = nowMillis;
    }

    /**
     * Records that a connection to a target was established. It ends a partition of the process.
     *
     * @param targetId id of the target
     * @param nowMillis monotonic time in milliseconds
     */
    public void connected(String targetId, long nowMillis) {
        lastReachedAtMillis = nowMillis;
        if (recheckByLostTarget.remove(targetId) != null) {
            listener.pathRestored(targetId);
        }
        if (partitioned) {
            partitioned = false;
            listener.partitionEnded();
        }
    }

    /**
     * Records that a peer reaches a target that this process cannot reach.
     *
     * @param targetId id of the target
     * @param peer name of the peer
     * @param nowMillis monotonic time in milliseconds
     */
    public void lost(String targetId, String peer, long nowMillis) {
        if (recheckByLostTarget.putIfAbsent(
                                targetId, new Recheck(nowMillis + RECHECK_INTERVAL_MILLIS, RECHECK_INTERVAL_MILLIS))
                        == null
                && !partitioned) {
            listener.pathLost(targetId, peer);
        }
    }

    /** Records that this process reaches no target. */
    public void partition() {
        if (!partitioned) {
            partitioned = true;
            listener.partitionBegan();
        }
    }

    /**
     * Forgets a target that is gone.
     *
     * @param targetId id of the target
     */
    public void forget(String targetId) {
        recheckByLostTarget.remove(targetId);
    }

    /**
     * Tells whether requests to a target need a peer.
     *
     * @param targetId id of the target
     * @return true while the path is lost or this process is partitioned
     */
    public boolean needsRelay(String targetId) {
        return partitioned || recheckByLostTarget.containsKey(targetId);
    }

    /**
     * Tells whether this process reaches no target.
     *
     * @return true while it is partitioned
     */
    public boolean partitioned() {
        return partitioned;
    }

    /**
     * Returns the number of lost paths.
     *
     * @return paths
     */
    public int lostPaths() {
        return recheckByLostTarget.size();
    }

    /**
     * Tells whether this process has reached any target since a given time. A target that is not reached while others
     * are is itself unreachable; otherwise the fault may lie with this process.
     *
     * @param sinceMillis monotonic time in milliseconds
     * @return true if bytes were received or a connection was established
     */
    public boolean reachedAnySince(long sinceMillis) {
        return lastReachedAtMillis >= sinceMillis;
    }

    /**
     * Returns lost paths that are due to be tried again, and schedules their next attempt.
     *
     * @param maxCount maximum number of paths
     * @param nowMillis monotonic time in milliseconds
     * @return ids of the targets
     */
    public List<String> dueForRecheck(int maxCount, long nowMillis) {
        List<String> due = new ArrayList<>();
        recheckByLostTarget.forEach((targetId, recheck) -> {
            if (due.size() < maxCount && nowMillis >= recheck.atMillis()) {
                due.add(targetId);
            }
        });
        // Moved to the end, so that each path has its turn.
        due.forEach(targetId -> recheckByLostTarget.put(
                targetId, recheckByLostTarget.remove(targetId).next(nowMillis)));
        return due;
    }

    /**
     * Next attempt to use a lost path again.
     *
     * @param atMillis monotonic time in milliseconds at which it is due
     * @param intervalMillis time since the attempt before it
     */
    private record Recheck(long atMillis, long intervalMillis) {
        Recheck next(long nowMillis) {
            long nextMillis = Math.min(MAX_RECHECK_INTERVAL_MILLIS, 2 * intervalMillis);
            return new Recheck(nowMillis + nextMillis, nextMillis);
        }
    }
}
