package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.time.Ticker;

/** Tests that scheduled tasks of the event loop outlive their failures, and that these are counted. */
class GuardedEventLoopGroupTest {
    private static final long TIMEOUT_SECONDS = 10;

    private final FrontMetrics metrics = new FrontMetrics();
    private final GuardedEventLoopGroup loop = new GuardedEventLoopGroup(new TaskGuard(metrics, Ticker.system()));

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /** Guards against a periodic task that is never run again because it has thrown an error once. */
    @Test
    void periodicTaskGoesOnAfterAnError() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        loop.scheduleWithFixedDelay(
                () -> {
                    runs.countDown();
                    throw new StackOverflowError();
                },
                1,
                1,
                TimeUnit.MILLISECONDS);
        assertThat("three runs", runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    /** Guards against a delayed task whose failure is neither logged nor counted. */
    @Test
    void failureOfADelayedTaskIsCounted() throws Exception {
        Runnable task = () -> {
            throw new IllegalStateException("expected");
        };
        loop.schedule(task, 1, TimeUnit.MILLISECONDS);
        FrontFixture.await(() -> metrics.scrape()
                .lines()
                .anyMatch(line -> line.startsWith("whinwharf_task_failures_total{task=\"GuardedEventLoopGroupTest\"}")
                        && line.endsWith(" 1.0")));
    }

    /** Guards against a periodic task that ends because its failure can be neither logged nor counted. */
    @Test
    void periodicTaskGoesOnAfterAFailureThatCannotBeReported() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        loop.scheduleWithFixedDelay(
                () -> {
                    runs.countDown();
                    throw new UnreportableError();
                },
                1,
                1,
                TimeUnit.MILLISECONDS);
        assertThat("three runs", runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    /** An error under which the log fails too. */
    private static final class UnreportableError extends Error {
        private static final long serialVersionUID = 1L;

        @Override
        public String toString() {
            throw new StackOverflowError();
        }
    }
}
