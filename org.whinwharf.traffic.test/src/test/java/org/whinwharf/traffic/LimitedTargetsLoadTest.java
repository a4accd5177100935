package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.WorkloadSimulation.Kind;
import org.whinwharf.traffic.WorkloadSimulation.Phase;
import org.whinwharf.traffic.WorkloadSimulation.Result;
import org.whinwharf.traffic.policy.ImmutablePolicy;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;

/** Load pattern: some of six targets of eight slots slow down long before they are full, or become slow at any load. */
class LimitedTargetsLoadTest {
    private static final int SLOTS = 8;
    private static final int TARGETS = 6;
    private static final int KNEE = 3;
    private static final int SEEDS = 4;
    private static final long END_MILLIS = 30_000;
    private static final Policy WITHOUT_LIMITS =
            ImmutablePolicy.builder().addDisabled(Mechanism.LEARNED_LIMITS).build();

    /** Guards against targets that are filled up to their slots although they slow down beyond three requests. */
    @Test
    void halfOfTheTargetsSlowDownBeyondThree() {
        double learned = onTimeShare(90, Policy.ALL_ENABLED, LimitedTargetsLoadTest::slowDownBeyondThree);
        double oracle = onTimeShare(90, Policy.ALL_ENABLED, LimitedTargetsLoadTest::limitToTheKnee);
        double without = onTimeShare(90, WITHOUT_LIMITS, LimitedTargetsLoadTest::slowDownBeyondThree);
        assertThat(learned, greaterThanOrEqualTo(0.9 * oracle));
        assertThat(learned, greaterThan(without));
    }

    /** Guards against limits that are learned too late from long answers, of which each target has few. */
    @Test
    void halfOfTheTargetsSlowDownBeyondThreeUnderLongAnswers() {
        Kind longAnswers = new Kind(0, 70, 690, 1.0, 150, 0.8, 1_000, 410, 10_000, 1);
        double learned = onTimeShare(longAnswers, Policy.ALL_ENABLED, LimitedTargetsLoadTest::slowDownBeyondThree);
        double oracle = onTimeShare(longAnswers, Policy.ALL_ENABLED, LimitedTargetsLoadTest::limitToTheKnee);
        assertThat(learned, greaterThanOrEqualTo(0.9 * oracle));
    }

    /** Guards against limits at targets that are slow for a while at any load. */
    @Test
    void targetsThatSlowDownThreefoldAndBackAreServedAsWithoutLimits() {
        Consumer<WorkloadSimulation> slowForAWhile = simulation -> {
            simulation.changeEngine(10_000, 0, SLOTS, 3);
            simulation.changeEngine(10_000, 1, SLOTS, 3);
            simulation.changeEngine(20_000, 0, SLOTS, 1);
            simulation.changeEngine(20_000, 1, SLOTS, 1);
        };
        assertThat(
                onTimeShare(110, Policy.ALL_ENABLED, slowForAWhile),
                greaterThanOrEqualTo(0.97 * onTimeShare(110, WITHOUT_LIMITS, slowForAWhile)));
    }

    /** Guards against limits, or worse decisions, where all targets are even. */
    @Test
    void evenTargetsAreNotLimited() {
        double learned = onTimeShare(110, Policy.ALL_ENABLED, simulation -> {});
        assertThat(learned, greaterThanOrEqualTo(0.99 * onTimeShare(110, WITHOUT_LIMITS, simulation -> {})));
        WorkloadSimulation simulation = new WorkloadSimulation(9, Policy.ALL_ENABLED, SLOTS, evenTargets());
        simulation.run(List.of(kind(130)), List.of(new Phase(END_MILLIS, 1)));
        for (int i = 0; i < TARGETS; i++) {
            assertThat(simulation.limitChanges(i), is(0));
        }
    }

    private static void slowDownBeyondThree(WorkloadSimulation simulation) {
        for (int i = 0; i < TARGETS / 2; i++) {
            simulation.changeEngine(0, i, KNEE, 1);
        }
    }

    private static void limitToTheKnee(WorkloadSimulation simulation) {
        slowDownBeyondThree(simulation);
        simulation.stopLearningLimits();
        for (int i = 0; i < TARGETS / 2; i++) {
            simulation.target(i).limit().adopt(KNEE, END_MILLIS * 10);
        }
    }

    private static double onTimeShare(double perSecond, Policy policy, Consumer<WorkloadSimulation> setUp) {
        return onTimeShare(kind(perSecond), policy, setUp);
    }

    private static double onTimeShare(Kind kind, Policy policy, Consumer<WorkloadSimulation> setUp) {
        double sum = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            WorkloadSimulation simulation = new WorkloadSimulation(seed, policy, SLOTS, evenTargets());
            setUp.accept(simulation);
            Result result = simulation
                    .run(List.of(kind), List.of(new Phase(END_MILLIS, 1)))
                    .get(kind);
            sum += result.onTime() / (double) result.asked();
        }
        return sum / SEEDS;
    }

    private static Kind kind(double perSecond) {
        return new Kind(0, perSecond, 690, 1.0, 80, 0.8, 1_000, 410, 10_000, 1);
    }

    private static double[] evenTargets() {
        return new double[] {1, 1, 1, 1, 1, 1};
    }
}
