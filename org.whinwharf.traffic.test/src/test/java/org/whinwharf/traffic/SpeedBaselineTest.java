package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.target.SpeedBaseline;
import org.whinwharf.traffic.target.TargetSpeed;

/** Predictions of the first event while prompts of three lengths go to engines five times apart in speed. */
class SpeedBaselineTest {
    private static final long[] PROMPT_TOKENS = {628, 1_800, 6_610};
    private static final double[] SLOWNESS = {0.55, 1, 2.8};

    private final Random random = new Random(3);
    private final SpeedBaseline baseline = new SpeedBaseline(true);
    private final TargetSpeed[] speeds = new TargetSpeed[SLOWNESS.length];

    /** Time of a first event, without noise and without the slowness of the engine. */
    @FunctionalInterface
    private interface Engine {
        double firstEventMillis(long tokens, double occupancy);
    }

    SpeedBaselineTest() {
        Arrays.setAll(speeds, i -> new TargetSpeed(baseline));
    }

    /** Guards against a factor that mixes lengths: too short a time for short prompts, two or three times for long. */
    @ParameterizedTest
    @ValueSource(doubles = {157, 55})
    void mixedLengthsArePredictedWithinAQuarterAfterTwoHundredAnswers(double tokensPerMilli) {
        Engine engine = (tokens, occupancy) -> 15 + 10 * 3.55 + tokens / tokensPerMilli;
        answers(200, engine);
        for (int i = 0; i < SLOWNESS.length; i++) {
            for (long tokens : PROMPT_TOKENS) {
                double actualMillis = SLOWNESS[i] * engine.firstEventMillis(tokens, 0.5);
                double predictedMillis = speeds[i].estimatedFirstEventMillis(tokens, 0.5);
                assertThat(
                        "slowness " + SLOWNESS[i] + ", tokens " + tokens,
                        predictedMillis / actualMillis,
                        closeTo(1, 0.25));
            }
        }
    }

    /** Guards against predictions that drift although the engines are as assumed. */
    @Test
    void enginesAsAssumedArePredictedAsBefore() {
        TargetSpeed assumed = new TargetSpeed();
        answers(2_000, assumed::estimatedFirstEventMillis);
        for (int i = 0; i < SLOWNESS.length; i++) {
            for (long tokens : PROMPT_TOKENS) {
                double actualMillis = SLOWNESS[i] * assumed.estimatedFirstEventMillis(tokens, 0.5);
                assertThat(speeds[i].estimatedFirstEventMillis(tokens, 0.5) / actualMillis, closeTo(1, 0.1));
            }
        }
    }

    /** Guards against a baseline that follows the one engine with requests and makes the others look slow. */
    @Test
    void slowEngineDoesNotChangeThePredictionForAFreshOne() {
        TargetSpeed slow = new TargetSpeed(baseline);
        for (int i = 0; i < 300; i++) {
            slow.recordFirstEvent(PROMPT_TOKENS[i % 3], 0, (long) (3 * (20 + PROMPT_TOKENS[i % 3] / 60.0)));
        }
        double ratio = new TargetSpeed(baseline).estimatedFirstEventMillis(1_800, 0)
                / new TargetSpeed().estimatedFirstEventMillis(1_800, 0);
        assertThat(ratio, allOf(greaterThan(0.7), lessThan(1.4)));
    }

    /** Guards against terms that one stalled answer or hours of one length move away from what is observed. */
    @Test
    void outliersAndASingleLengthLeaveOtherLengthsPredictable() {
        for (int i = 0; i < 5_000; i++) {
            speeds[1].recordFirstEvent(628, 0, i % 200 == 199 ? 60_000 : 30);
        }
        assertThat(speeds[1].estimatedFirstEventMillis(628, 0), allOf(greaterThan(20.0), lessThan(110.0)));
        assertThat(speeds[1].estimatedFirstEventMillis(6_610, 0), allOf(greaterThan(60.0), lessThan(500.0)));
    }

    private void answers(int count, Engine engine) {
        for (int i = 0; i < count; i++) {
            int target = random.nextInt(SLOWNESS.length);
            long tokens = PROMPT_TOKENS[random.nextInt(PROMPT_TOKENS.length)];
            double occupancy = random.nextDouble();
            double noise = Math.exp(0.1 * random.nextGaussian());
            double tookMillis = SLOWNESS[target] * engine.firstEventMillis(tokens, occupancy) * noise;
            speeds[target].recordFirstEvent(tokens, occupancy, Math.round(tookMillis) - 1);
        }
    }
}
