package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.target.TargetLimit;

/** Limits learned from the answers of one target that is filled up to its limit, or to one in three of its slots. */
class TargetLimitTest {
    private static final int SLOTS = 8;
    private static final double PACE_MILLIS = 28;

    private final Random random = new Random(5);
    private final TargetLimit limit = new TargetLimit();
    private long nowMillis;
    private int changes;

    /** Guards against swinging: once learned, the limit stays, and trials go no further than one request. */
    @Test
    void targetThatSlowsDownBeyondThreeIsLimitedToThreeWithoutSwinging() {
        answers(60, SLOTS, 3, 1);
        assertThat(limit.settled(), allOf(greaterThanOrEqualTo(2), lessThanOrEqualTo(4)));
        changes = 0;
        answers(600, SLOTS, 3, 1);
        assertThat(limit.settled(), is(3));
        assertThat(limit.requests(), allOf(greaterThanOrEqualTo(2), lessThanOrEqualTo(4)));
        assertThat(changes, lessThanOrEqualTo(4));
    }

    /** Guards against a slow target, or a long answer, that is taken for a full one. */
    @Test
    void targetThatIsSlowAtAnyLoadKeepsItsSlots() {
        answers(300, SLOTS, SLOTS, 3);
        assertThat(limit.requests(), is(0));
        assertThat(changes, is(0));
    }

    /** Guards against a limit where each further request costs some pace, but still adds to the throughput. */
    @Test
    void targetWhoseThroughputGrowsUpToItsSlotsKeepsThem() {
        for (int i = 0; i < 1_000; i++) {
            double load = 1 + random.nextInt(SLOTS);
            nowMillis += 100;
            limit.record(load, PACE_MILLIS * (1 + 0.1 * load) * noise(), SLOTS, nowMillis);
            assertThat(limit.requests(), is(0));
        }
    }

    /** Guards against a limit that outlives its cause. */
    @Test
    void limitGrowsBackToTheSlotsWhenTheTargetBearsThemAgain() {
        answers(100, SLOTS, 3, 1);
        answers(120, SLOTS, SLOTS, 1);
        assertThat(limit.requests(), is(0));
    }

    /**
     * Guards against a target that is kept limited long after it has become fast again: ten answers, or two seconds.
     */
    @Test
    void limitGrowsBackWithinTenAnswers() {
        answers(100, SLOTS, 3, 1);
        answers(10, SLOTS, SLOTS, 1);
        assertThat(limit.requests(), is(0));
    }

    /** Guards against a target that slows down at any load while it fills up, which looks like a bend. */
    @Test
    void targetThatSlowsDownThreefoldWhileItFillsUpGetsItsSlotsBack() {
        for (int i = 0; i < 16; i++) {
            nowMillis += 100;
            limit.record(2 + i % 2, PACE_MILLIS * noise(), SLOTS, nowMillis);
        }
        answers(150, SLOTS, SLOTS, 3);
        assertThat(limit.requests(), is(0));
    }

    /** Guards against limits below one or above the slots. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 8, 64})
    void limitStaysBetweenOneAndTheSlots(int slots) {
        for (int knee : new int[] {1, 2, slots}) {
            for (int i = 0; i < 400; i++) {
                answers(1, slots, knee, i % 100 < 50 ? 1 : 4);
                assertThat(limit.requests(), allOf(greaterThanOrEqualTo(0), lessThanOrEqualTo(slots)));
            }
        }
    }

    private void answers(int count, int slots, int knee, double slowness) {
        for (int i = 0; i < count; i++) {
            nowMillis += 100;
            int most = limit.requests() == 0 ? slots : limit.requests();
            double load = random.nextInt(3) == 0 ? 1 + random.nextInt(most) : most;
            double crowding = 1 + 0.6 * Math.max(0, load - knee);
            if (limit.record(load, PACE_MILLIS * slowness * crowding * noise(), slots, nowMillis)) {
                changes++;
            }
        }
    }

    private double noise() {
        return Math.exp(0.05 * random.nextGaussian());
    }
}
