package org.whinwharf.runtime.node.internal;

import java.util.List;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;

/** Logs when a process becomes ready and why it is not, but no more often than an operator can read. */
public final class ReadinessLog {
    private static final long PERIOD_MILLIS = 5_000;

    private List<String> lastReasons = List.of("");
    private long lastAtMillis = Long.MIN_VALUE;

    /**
     * Takes the reasons of this instant.
     *
     * @param reasons why the process is not ready; empty when it is
     * @param snapshot what it knows
     * @param nowMillis monotonic clock
     */
    public void update(List<String> reasons, Snapshot snapshot, long nowMillis) {
        boolean turned = reasons.isEmpty() != lastReasons.isEmpty();
        boolean due = lastAtMillis == Long.MIN_VALUE || nowMillis - lastAtMillis >= PERIOD_MILLIS;
        if (reasons.equals(lastReasons) || !(turned || due)) {
            return;
        }
        lastReasons = reasons;
        lastAtMillis = nowMillis;
        write(reasons, snapshot);
    }

    private static void write(List<String> reasons, Snapshot snapshot) {
        if (reasons.isEmpty()) {
            long generation =
                    snapshot.document().map(document -> document.generation()).orElse(0L);
            EventLog.event(LogEvent.READY)
                    .with(EventField.GENERATION, generation)
                    .with(EventField.REVISION, snapshot.revision())
                    .call();
        } else {
            EventLog.event(LogEvent.NOT_READY).with(EventField.REASONS, reasons).call();
        }
    }
}
