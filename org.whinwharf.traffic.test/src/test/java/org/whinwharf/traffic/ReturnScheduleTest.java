package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.WorkloadSimulation.EngineSpeed;
import org.whinwharf.traffic.WorkloadSimulation.Kind;
import org.whinwharf.traffic.WorkloadSimulation.Phase;
import org.whinwharf.traffic.WorkloadSimulation.Result;
import org.whinwharf.traffic.policy.ImmutablePolicy;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.waiting.ReturnSchedule;

class ReturnScheduleTest {
    private static final int RANK = 2;
    private static final long DEADLINE_MILLIS = 9_000;
    private static final int PLACED_PER_SECOND = 200;
    private static final double LATE_WORTH = 0.3;
    private static final Kind PROMPT = new Kind(0, 40, 6_610, 1.4, 382, 1.95, 3_780, 1_000, 12_000, 6.8);
    private static final Kind NOTE = new Kind(1, 38, 628, 1.0, 292, 1.95, 2_880, 600, 10_000, 1.7);
    private static final Kind CHECK = new Kind(2, 56, 1_800, 1.3, 22.6, 1.95, 225, 600, 3_000, 0.34);
    private static final List<Kind> KINDS = List.of(PROMPT, NOTE, CHECK);

    private final ReturnSchedule schedule = new ReturnSchedule();

    /** Load pattern: a burst of rejections within a moment. Guards against returns that exceed the places free then. */
    @Test
    void rejectedTogetherDoNotReturnTogether() {
        for (int i = 0; i < 300; i++) {
            long nowMillis = i;
            assertThat(
                    retryAfterMillis(500, 0, nowMillis),
                    allOf(greaterThanOrEqualTo(500L), lessThanOrEqualTo(DEADLINE_MILLIS / 3)));
        }
        for (long atMillis = 400; atMillis < 4_000; atMillis += 100) {
            assertThat(schedule.promisedAt(atMillis), lessThanOrEqualTo(PLACED_PER_SECOND / 10));
        }
    }

    /** Load pattern: more rejections than places within reach. Guards against a last moment that takes all of them. */
    @Test
    void returnsBeyondTheRoomAreSpreadEvenly() {
        IntStream.range(0, 2_000).forEach(i -> retryAfterMillis(1_000, 0, 0));
        for (long atMillis = 1_000; atMillis <= DEADLINE_MILLIS / 3; atMillis += 100) {
            assertThat(schedule.promisedAt(atMillis), lessThanOrEqualTo(2_000 / 21 + 1));
        }
    }

    /** A caller whose organisation has room only later is told that time, even if it is late for its deadline. */
    @Test
    void nobodyReturnsBeforeItsOrganisationHasRoom() {
        assertThat(retryAfterMillis(300, 2_500, 0), greaterThanOrEqualTo(2_500L));
        assertThat(retryAfterMillis(300, 5_000, 0), is(5_000L));
    }

    /** Guards against new requests that are taken for returns, and returns that are taken for new requests. */
    @Test
    void returnIsRecognisedOnceByItsDeadline() {
        long returnMillis = retryAfterMillis(300, 0, 0) + 10;
        assertThat(schedule.recordArrival(RANK, returnMillis + DEADLINE_MILLIS, returnMillis), is(false));
        assertThat(schedule.recordArrival(RANK + 1, DEADLINE_MILLIS, returnMillis), is(false));
        assertThat(schedule.recordArrival(RANK, DEADLINE_MILLIS + 5, returnMillis), is(true));
        assertThat(schedule.recordArrival(RANK, DEADLINE_MILLIS + 5, returnMillis), is(false));
    }

    /** Guards against promises that stay in the ring and count for later times. */
    @Test
    void pastPromisesAreForgotten() {
        long returnMillis = retryAfterMillis(300, 0, 0);
        long laterMillis = returnMillis + 60_000;
        assertThat(schedule.promisedAt(laterMillis), is(0));
        assertThat(schedule.recordArrival(RANK, DEADLINE_MILLIS, laterMillis), is(false));
    }

    /**
     * Load pattern: bursts of three and a half seconds with gaps between them. More of the worth is earned, with fewer
     * rejections, than if callers are told the age of the backlog.
     */
    @Test
    void burstsBetweenGapsEarnMoreWithFewerRejections() {
        Policy unscheduled = ImmutablePolicy.builder()
                .addDisabled(Mechanism.SCHEDULED_RETURNS)
                .build();
        double worth = 0;
        double unscheduledWorth = 0;
        int refusals = 0;
        int unscheduledRefusals = 0;
        for (int seed = 1; seed <= 4; seed++) {
            Map<Kind, Result> results = run(seed, Policy.ALL_ENABLED);
            Map<Kind, Result> unscheduledResults = run(seed, unscheduled);
            for (Kind kind : KINDS) {
                worth += results.get(kind).worthShare(LATE_WORTH) * kind.worth() * kind.perSecond();
                unscheduledWorth +=
                        unscheduledResults.get(kind).worthShare(LATE_WORTH) * kind.worth() * kind.perSecond();
                refusals += results.get(kind).refusals();
                unscheduledRefusals += unscheduledResults.get(kind).refusals();
            }
        }
        assertThat(worth, greaterThan(unscheduledWorth));
        assertThat(unscheduledRefusals, greaterThan(refusals));
    }

    private long retryAfterMillis(long earliestMillis, long notBeforeMillis, long nowMillis) {
        return schedule.retryAfterMillis(
                RANK, earliestMillis, notBeforeMillis, nowMillis + DEADLINE_MILLIS, PLACED_PER_SECOND, nowMillis);
    }

    private static Map<Kind, Result> run(long seed, Policy policy) {
        double[] slowness = new double[21];
        Arrays.setAll(slowness, i -> new double[] {0.55, 1, 2.8}[i % 3]);
        List<Phase> phases = List.of(
                new Phase(3_000, 1),
                new Phase(6_500, 2.6),
                new Phase(12_000, 0.8),
                new Phase(15_500, 2.6),
                new Phase(20_000, 0.8));
        return new WorkloadSimulation(seed, policy, new EngineSpeed(55, 2.89, 9), 7, slowness).run(KINDS, phases);
    }
}
