package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.time.Ticker;

/** Tests that the checks of a front go on whatever fails in them or between them. */
class TickTimerTest {
    private static final int INTERVAL_MILLIS = 5;

    private final TaskGuard guard = new TaskGuard(new FrontMetrics(), Ticker.system());
    private final ForgetfulLoop loop = new ForgetfulLoop();
    private final AtomicInteger runs = new AtomicInteger();

    /** A loop that loses every third task. */
    private static final class ForgetfulLoop extends MultiThreadIoEventLoopGroup {
        private final AtomicInteger scheduled = new AtomicInteger();

        ForgetfulLoop() {
            super(1, NioIoHandler.newFactory());
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            if (scheduled.incrementAndGet() % 3 == 0) {
                throw new OutOfMemoryError("no memory for a task");
            }
            return super.schedule(task, delay, unit);
        }
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    private TickTimer timer(TickTimer.Tick tick) {
        TickTimer timer = new TickTimer(loop, guard, Ticker.system(), tick, INTERVAL_MILLIS);
        loop.scheduleWithFixedDelay(
                () -> guard.run("upkeep", timer::resumeIfLost),
                INTERVAL_MILLIS,
                INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.start();
        return timer;
    }

    /** Guards against checks that end for good because the next ones could not be scheduled. */
    @Test
    void lostRunIsMadeUpFor() throws InterruptedException {
        timer(late -> {
            runs.incrementAndGet();
            return INTERVAL_MILLIS;
        });
        FrontFixture.await(() -> runs.get() >= 8);
        assertThat("failures that were not reported", guard.unreportedFailures(), is(0L));
    }

    /** Guards against checks that end for good because one of them has thrown an error. */
    @Test
    void failedRunIsFollowedByAnother() throws InterruptedException {
        timer(late -> {
            if (runs.incrementAndGet() % 2 == 1) {
                throw new StackOverflowError();
            }
            return INTERVAL_MILLIS;
        });
        FrontFixture.await(() -> runs.get() >= 8);
    }
}
