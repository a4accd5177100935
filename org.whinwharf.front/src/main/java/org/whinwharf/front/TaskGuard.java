package org.whinwharf.front;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.time.Ticker;

/**
 * Runs the tasks of the event loop, each of which goes on whatever an earlier run of it, or another task, has thrown.
 *
 * <p>Every throwable is caught, errors included: a task that is scheduled again only after it has returned would never
 * run again otherwise.
 */
final class TaskGuard {
    /** Time for which further failures of a task are counted but not logged. */
    private static final long LOG_INTERVAL_MILLIS = 10_000;

    private final FrontMetrics metrics;
    private final Ticker ticker;
    private final Map<String, Long> loggedAtMillis = new HashMap<>();

    TaskGuard(FrontMetrics metrics, Ticker ticker) {
        this.metrics = metrics;
        this.ticker = ticker;
    }

    /**
     * Runs a task.
     *
     * @param name name in the log and in metrics
     */
    void run(String name, Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            failed(name, e);
        }
    }

    /**
     * Counts a failure, and logs it unless one of the same name was logged a short time ago.
     *
     * @param name name in the log and in metrics
     */
    void failed(String name, Throwable cause) {
        metrics.taskFailed(name);
        long nowMillis = ticker.nowMillis();
        Long lastMillis = loggedAtMillis.get(name);
        if (lastMillis == null || nowMillis - lastMillis > LOG_INTERVAL_MILLIS) {
            loggedAtMillis.put(name, nowMillis);
            FrontLog.taskFailed(name, cause);
        }
    }
}
