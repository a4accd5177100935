package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.time.Ticker;

/** Verifies that each request which waits for a read of the published items learns its outcome, whatever fails. */
class ItemConfirmationTest {
    private static final long TIMEOUT_SECONDS = 5;

    private final GuardedEventLoopGroup loop =
            new GuardedEventLoopGroup(new TaskGuard(new FrontMetrics(), Ticker.system()));
    private final ItemConfirmation confirmation = new ItemConfirmation(loop, Ticker.system(), () -> 1);

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /** Guards against a confirmation that never reads again because a read could not begin. */
    @Test
    void readFollowsOneThatCouldNotBegin() throws Exception {
        AtomicInteger reads = new AtomicInteger();
        confirmation.readBy(result -> {
            if (reads.incrementAndGet() == 1) {
                throw new IllegalStateException("expected");
            }
            result.accept(true);
        });
        CompletableFuture<Boolean> outcome = new CompletableFuture<>();
        loop.execute(() -> confirmation.await(Ticker.system().nowMillis(), outcome::complete));
        assertThat("confirmed", outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    /** Guards against requests that wait for ever because one that learnt the outcome before them has failed. */
    @Test
    void requestLearnsTheOutcomeThoughAnotherOneFails() throws Exception {
        confirmation.readBy(result -> loop.execute(() -> result.accept(true)));
        CompletableFuture<Boolean> outcome = new CompletableFuture<>();
        loop.execute(() -> {
            confirmation.await(Ticker.system().nowMillis(), confirmed -> {
                throw new IllegalStateException("expected");
            });
            confirmation.await(Ticker.system().nowMillis(), outcome::complete);
        });
        assertThat("outcome", outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }
}
