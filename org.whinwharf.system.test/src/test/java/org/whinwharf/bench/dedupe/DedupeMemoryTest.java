package org.whinwharf.bench.dedupe;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class DedupeMemoryTest {
    private static final int WINDOW = 2000;

    /*
     * A filter that forgets a request within its window would let a repeated booking run again.
     */
    @Test
    void filterNeverForgetsWithinItsWindow() {
        AgePartitionedFilter filter = new AgePartitionedFilter(7, 5, WINDOW);
        for (int i = 0; i < 5 * WINDOW; i++) {
            filter.add(1, i);
            if (i >= WINDOW) {
                assertThat(filter.seen(1, i - WINDOW + 1), is(true));
            }
        }
        assertThat(filter.seen(1, 0), is(false));
    }

    @Test
    void filterRefusesSomeKeysThatWereNeverAdded() {
        AgePartitionedFilter filter = new AgePartitionedFilter(7, 5, WINDOW);
        for (int i = 0; i < 5 * WINDOW; i++) {
            filter.add(1, i);
        }
        int wrong = 0;
        for (int i = 0; i < 100_000; i++) {
            wrong += filter.seen(2, i) ? 1 : 0;
        }
        assertThat(wrong, is(both(greaterThan(0)).and(lessThan(5000))));
    }

    @Test
    void runCountsRepeatsThatAnExactMemoryStops() {
        DedupeScenario scenario = new DedupeScenario(7, 80, 8, 20, 600, 0.005, 0.02, 20, 1);
        DedupeRun.Tally tally = new DedupeRun(scenario, () -> new IntervalMemory(64), 1).call(7200);
        assertThat(tally.refusedWrongly, is(0L));
        assertThat(tally.repeatsLetThrough, is(0L));
        assertThat((double) tally.repeats / tally.fresh, is(closeTo(0.02, 0.005)));
    }
}
