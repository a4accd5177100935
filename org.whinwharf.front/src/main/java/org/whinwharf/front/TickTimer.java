package org.whinwharf.front;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.whinwharf.time.Ticker;

/** Runs the checks of a front again and again, each time after the pause that the last run asked for. */
final class TickTimer {
    /** Checks of a front. */
    @FunctionalInterface
    interface Tick {
        /**
         * Runs the checks.
         *
         * @param lateMillis time by which they run later than they were due
         * @return pause until the next run in milliseconds
         */
        long run(long lateMillis);
    }

    /** Time after which a run that was due counts as lost, as when it could not be scheduled for lack of memory. */
    private static final long LOST_MILLIS = 1_000;

    private final EventLoopGroup loop;
    private final TaskGuard guard;
    private final Ticker ticker;
    private final Tick tick;
    private final long pauseAfterFailureMillis;
    private long pauseMillis;
    private long dueAtMillis;
    private Future<?> next;

    TickTimer(EventLoopGroup loop, TaskGuard guard, Ticker ticker, Tick tick, long pauseAfterFailureMillis) {
        this.loop = loop;
        this.guard = guard;
        this.ticker = ticker;
        this.tick = tick;
        this.pauseAfterFailureMillis = pauseAfterFailureMillis;
    }

    /** Schedules the first run; may be called on any thread. */
    void start() {
        dueAtMillis = ticker.nowMillis();
        next = loop.schedule(this::run, 0, TimeUnit.MILLISECONDS);
    }

    private void run() {
        long lateMillis = ticker.nowMillis() - dueAtMillis;
        pauseMillis = pauseAfterFailureMillis;
        guard.run("tick", () -> pauseMillis = tick.run(lateMillis));
        dueAtMillis = ticker.nowMillis() + pauseMillis;
        next = loop.schedule(this::run, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs the checks if the run that was due is lost; called at regular intervals by a task that cannot be lost. */
    void resumeIfLost() {
        if (ticker.nowMillis() - dueAtMillis > LOST_MILLIS) {
            next.cancel(false);
            run();
        }
    }
}
