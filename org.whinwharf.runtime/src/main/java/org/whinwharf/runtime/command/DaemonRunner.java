package org.whinwharf.runtime.command;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.whinwharf.runtime.RuntimeText;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.time.Ticker;

/** Leads a daemon from its start through a planned stop. */
public final class DaemonRunner {
    private static final Logger LOG = LogManager.getLogger(DaemonRunner.class);
    private static final Ticker TICKER = Ticker.system();

    private final Daemon daemon;
    private final long drainMillis;

    /**
     * Makes a runner.
     *
     * @param daemon the daemon
     * @param drainMillis longest wait for work in flight
     */
    public DaemonRunner(Daemon daemon, long drainMillis) {
        this.daemon = daemon;
        this.drainMillis = drainMillis;
    }

    /**
     * Starts the daemon.
     *
     * @return {@link ExitCode#OK} when it serves; otherwise it has been stopped again
     */
    public ExitCode start() {
        try {
            daemon.start();
            return ExitCode.OK;
        } catch (RuntimeException e) {
            LOG.error(RuntimeText.get("start.failed", e.getMessage()), e);
            daemon.stop();
            return StartFailure.of(e);
        }
    }

    /**
     * Stops the daemon: it leaves, drains within the bound, and stops.
     *
     * @return how it went
     */
    public ExitCode stop() {
        EventLog.event(LogEvent.LEAVING).call();
        long leavingAtMillis = TICKER.nowMillis();
        ExitCode result = drain(daemon.leave(), leavingAtMillis);
        daemon.stop();
        EventLog.event(LogEvent.STOPPED)
                .with(EventField.EXIT_CODE, result.code())
                .call();
        return result;
    }

    private ExitCode drain(CompletableFuture<Void> drained, long leavingAtMillis) {
        try {
            drained.get(drainMillis, TimeUnit.MILLISECONDS);
            EventLog.event(LogEvent.DRAINED).call();
            return ExitCode.OK;
        } catch (TimeoutException e) {
            // Without this bound one caller that never reads would keep the host from being replaced.
            logTimeout(TICKER.nowMillis() - leavingAtMillis);
            return ExitCode.DRAIN_TIMEOUT;
        } catch (ExecutionException e) {
            LOG.error("cannot drain", e);
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private void logTimeout(long stoppingMillis) {
        EventLog line = EventLog.event(LogEvent.DRAIN_TIMEOUT).with(EventField.STOPPING_MILLIS, stoppingMillis);
        daemon.workInFlight()
                .ifPresent(work -> line.with(EventField.REQUESTS, work.requests())
                        .with(EventField.QUEUED, work.queuedRequests())
                        .with(EventField.ANSWERS, work.answers())
                        .with(EventField.SLICES, work.slices()));
        line.call();
    }
}
