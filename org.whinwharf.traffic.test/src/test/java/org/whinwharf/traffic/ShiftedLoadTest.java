package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.WorkloadSimulation.Kind;
import org.whinwharf.traffic.WorkloadSimulation.Phase;
import org.whinwharf.traffic.WorkloadSimulation.Result;
import org.whinwharf.traffic.policy.ImmutablePolicy;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;

/**
 * Load pattern: notes fill the slots of twenty-one engines with six slots each, whose speeds differ by a factor of
 * five, at one and a quarter times the capacity. Half of the answers are shorter than half of the mean, a tenth of them
 * is several times as long as the mean. Callers estimate the length of the answer.
 */
class ShiftedLoadTest {
    private static final double LOAD = 1.25;
    private static final Kind SUMMARY = new Kind(0, 26 * LOAD, 6_670, 1.4, 380, 1.95, 3_780, 820, 12_000, 8);
    private static final Kind NOTE = new Kind(1, 57 * LOAD, 690, 1.0, 290, 1.95, 2_880, 310, 10_000, 1.6);
    private static final Kind CHECK = new Kind(2, 40 * LOAD, 1_860, 1.3, 23, 1.95, 225, 410, 2_500, 0.35);
    private static final List<Kind> KINDS = List.of(SUMMARY, NOTE, CHECK);
    private static final List<Phase> PHASES =
            List.of(new Phase(8_000, 1), new Phase(14_000, 1.6), new Phase(24_000, 1));
    private static final int SEEDS = 4;
    private static final int ENGINES = 21;
    private static final int SLOTS = 6;
    private static final double[] SLOWNESS = {0.55, 1, 2.8};

    /** Guards against bursts in which a few long notes keep the slots from many short ones. */
    @Test
    void shortRequestsFirstServesMoreCallers() {
        Policy inOrderOfArrival =
                ImmutablePolicy.builder().addDisabled(Mechanism.SHORT_FIRST).build();
        for (Kind kind : List.of(NOTE, CHECK)) {
            assertThat(
                    mean(Policy.ALL_ENABLED, kind, Result::servedShare),
                    greaterThan(mean(inOrderOfArrival, kind, Result::servedShare)));
        }
    }

    /** Guards against a head start that starves long answers: they are served at least half as often as their kind. */
    @Test
    void longestAnswersAreServedAtLeastHalfAsOften() {
        for (Kind kind : KINDS) {
            assertThat(
                    mean(Policy.ALL_ENABLED, kind, Result::longServedShare),
                    greaterThanOrEqualTo(mean(Policy.ALL_ENABLED, kind, Result::servedShare) / 2));
        }
    }

    /** Guards against long answers that start on a slow engine, where they are cut off at their deadline. */
    @Test
    void longestAnswersOfTheHighestTierEndInTime() {
        assertThat(mean(Policy.ALL_ENABLED, SUMMARY, Result::longServedShare), greaterThan(0.98));
        assertThat(mean(Policy.ALL_ENABLED, SUMMARY, Result::servedShare), greaterThan(0.99));
    }

    private static double mean(Policy policy, Kind kind, ToDoubleFunction<Result> figure) {
        double sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Map<Kind, Result> results = new WorkloadSimulation(seed, policy, SLOTS, slowness()).run(KINDS, PHASES);
            sum += figure.applyAsDouble(results.get(kind));
        }
        return sum / SEEDS;
    }

    private static double[] slowness() {
        double[] slowness = new double[ENGINES];
        Arrays.setAll(slowness, i -> SLOWNESS[i % SLOWNESS.length]);
        return slowness;
    }
}
