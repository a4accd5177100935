package org.whinwharf.front;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
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
    private long unreportedFailures;

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

    /** Runs a task that has the name of the class that created it. */
    void run(Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            failed(() -> creatorOf(task), e);
        }
    }

    private static String creatorOf(Runnable task) {
        String name = task.getClass().getName();
        String topLevel = name.indexOf('$') < 0 ? name : name.substring(0, name.indexOf('$'));
        return topLevel.substring(topLevel.lastIndexOf('.') + 1);
    }

    /**
     * Counts a failure, and logs it unless one of the same name was logged a short time ago.
     *
     * @param name name in the log and in metrics
     */
    void failed(String name, Throwable cause) {
        failed(() -> name, cause);
    }

    private void failed(Supplier<String> nameSource, Throwable cause) {
        try {
            String name = nameSource.get();
            metrics.taskFailed(name);
            long nowMillis = ticker.nowMillis();
            Long lastMillis = loggedAtMillis.get(name);
            if (lastMillis == null || nowMillis - lastMillis > LOG_INTERVAL_MILLIS) {
                loggedAtMillis.put(name, nowMillis);
                FrontLog.taskFailed(name, cause);
            }
        } catch (Throwable e) {
            // What made the task fail, such as a lack of memory, may do the same to its report.
            unreportedFailures++;
        }
    }

    /** Returns the number of failures that could not be logged and counted by name. */
    long unreportedFailures() {
        return unreportedFailures;
    }
}
