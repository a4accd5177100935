package org.whinwharf.order.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks since when this process has been the steward of each target without interruption.
 *
 * <p>A gap in the revisions of the host list restarts the time of every target: under a skipped revision another host
 * may have been the steward, and its last order may still be in flight.
 */
public final class Tenure {
    private final Map<String, Long> startMillis = new HashMap<>();
    private long revision;

    /**
     * Updates the targets from a new host list.
     *
     * @param newRevision revision of the list
     * @param targets names of the targets whose steward is this process
     * @param nowMillis time at which the list took effect, on the monotonic clock
     */
    public void update(long newRevision, Set<String> targets, long nowMillis) {
        boolean hasGap = newRevision > revision + 1;
        if (hasGap) {
            startMillis.clear();
        }
        startMillis.keySet().retainAll(new HashSet<>(targets));
        targets.forEach(target -> startMillis.putIfAbsent(target, nowMillis));
        revision = newRevision;
    }

    /**
     * Returns how long this process has been the steward of a target.
     *
     * @param target name of the target
     * @param nowMillis current time, on the monotonic clock
     * @return duration in milliseconds; -1 when this process is not the steward
     */
    public long durationMillis(String target, long nowMillis) {
        Long start = startMillis.get(target);
        return start == null ? -1 : nowMillis - start;
    }
}
