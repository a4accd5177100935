package org.whinwharf.owner.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.whinwharf.wire.schema.Limits;

class ConcurrencyLimitTest {
    private final ConcurrencyLimit limit = new ConcurrencyLimit(
            Limits.newBuilder().setCold(1).setMost(32).setSlowFactor(2).build());

    @Test
    void growsByCompletionsOnlyAtTheLimit() {
        complete(10, 100, false);
        assertThat(limit.value(), is(1));
        complete(10, 100, true);
        assertThat(limit.value(), is(11));
    }

    // An overloaded engine is slow for all its requests; the owner must not wait until it refuses.
    @Test
    void decreasesWhenServiceTimeExceedsTheBestObserved() {
        complete(31, 100, true);
        int before = limit.value();
        complete(60, 300, true);
        assertThat(limit.value(), lessThan(before));
        assertThat(limit.value(), greaterThan(1));
    }

    // The limit had grown beyond the number of requests that the engine runs concurrently, because long answers hide
    // the queueing time. A short request of the highest tier was queued at the engine behind them until its deadline
    // had passed.
    @Test
    void fallsToTheRunningRequestsWhenOthersAreQueuedAtTheTarget() {
        complete(15, 100, true);
        limit.onQueued(4);
        assertThat(limit.value(), is(4));
        complete(4, 100, true);
        assertThat(limit.value(), is(5));
    }

    @Test
    void halvesOnARefusal() {
        complete(15, 100, true);
        limit.onRefused();
        assertThat(limit.value(), is(8));
    }

    // A target lost its caches and weights without a new start number, so each answer suddenly takes many times
    // longer.
    @Test
    void resetsToColdOnASuddenIncreaseOfServiceTime() {
        complete(15, 100, true);
        complete(2, 1000, true);
        assertThat(limit.value(), is(1));
    }

    @Test
    void growsAgainWhenATargetIsPermanentlySlower() {
        complete(31, 100, true);
        complete(2000, 250, true);
        assertThat(limit.value(), greaterThan(4));
    }

    private void complete(int times, long totalMillis, boolean limitReached) {
        for (int i = 0; i < times; i++) {
            limit.onCompleted(new CompletionSample(10, totalMillis, 0, 0, 20), limitReached);
        }
    }
}
