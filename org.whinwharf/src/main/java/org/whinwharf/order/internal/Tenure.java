package org.whinwharf.order.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Since when this process has been the steward of each target without a gap.
 *
 * <p>Where revisions were skipped, another host may have been the steward under one of them, and its last order may
 * still be on its way. So a gap counts as a change of stewards.
 */
public final class Tenure {
    private final Map<String, Long> startMillis = new HashMap<>();
    private long revision;

    /**
     * Takes another host list.
     *
     * @param newRevision its revision
     * @param targets names of the targets whose steward this process is
     * @param nowMillis monotonic clock when the list was heard of
     */
    public void update(long newRevision, Set<String> targets, long nowMillis) {
        boolean gap = newRevision > revision + 1;
        if (gap) {
            startMillis.clear();
        }
        startMillis.keySet().retainAll(new HashSet<>(targets));
        targets.forEach(target -> startMillis.putIfAbsent(target, nowMillis));
        revision = newRevision;
    }

    /**
     * Returns how long this process has been the steward.
     *
     * @param target name of the target
     * @param nowMillis monotonic clock
     * @return milliseconds; -1 when it is not the steward
     */
    public long durationMillis(String target, long nowMillis) {
        Long since = startMillis.get(target);
        return since == null ? -1 : nowMillis - since;
    }
}
