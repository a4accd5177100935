package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.policy.ImmutablePolicy;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;

/** Tests targets that state how many requests per second they take from all processes together. */
class StatedRateTest {
    private static final int FRONTS = 3;
    private static final int TARGETS = 6;
    private static final long SERVICE_MILLIS = 60;
    private static final long STATED_AT_MILLIS = 1_500;
    /** Time after the first statement from which every request counts. */
    private static final long NOTICE_MILLIS = 1_000;

    private static final long STATED_UNTIL_MILLIS = 8_500;
    /** Time within which a target gets requests as before once it states no rate. */
    private static final long FOUND_AGAIN_MILLIS = 5_500;

    private static final long PLAY_MILLIS = 15_000;
    /** Service time at which the requests need the slots of all targets. */
    private static final long LONG_SERVICE_MILLIS = 900;

    private static final long CALL_INTERVAL_MILLIS = 25;
    /** Requests a second that a target gets where the slots of all are needed; its slots allow nine. */
    private static final double MIN_USED_AGAIN = 4;
    /** Share of the stated rates that is used where more is asked for. */
    private static final double MIN_USED_SHARE = 0.7;

    /** Guards against a target that gets more requests from all processes together than it has stated. */
    @ParameterizedTest
    @CsvSource({"1,true,1", "1,false,1", "3,true,3.6", "3,false,3.6", "1,true,0.2", "1,false,0"})
    void targetsGetTheRateThatTheyState(int count, boolean engine, String rate) throws Exception {
        try (RatedFleet fleet = fleet(engine)) {
            stateDuringPlay(fleet, count, rate);
            play(fleet);
            assertWithinRate(fleet, count, rate);
            assertNoLimitKnown(fleet);
        }
    }

    /** Guards against the loss of a count with the process that keeps it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rateIsKeptWhenTheCoordinatorIsKilled(boolean engine) throws Exception {
        try (RatedFleet fleet = fleet(engine)) {
            stateDuringPlay(fleet, 3, "3.6");
            fleet.at(
                    4_000,
                    () -> fleet.fronts()
                            .front(engine ? fleet.fronts().coordinator() : 0)
                            .kill());
            play(fleet);
            assertWithinRate(fleet, 3, "3.6");
            assertNoLimitKnown(fleet);
        }
    }

    /** Guards against a process that has just started and has no answer of the target yet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rateIsKeptWhenAFrontStarts(boolean engine) throws Exception {
        try (RatedFleet fleet = fleet(engine)) {
            stateDuringPlay(fleet, 3, "3.6");
            fleet.at(4_000, () -> fleet.fronts().startFrontBeside(0));
            play(fleet);
            assertWithinRate(fleet, 3, "3.6");
        }
    }

    /** Guards against two processes that both take themselves for the coordinator. */
    @Test
    void rateIsKeptWhenTheCoordinatorFreezes() throws Exception {
        try (RatedFleet fleet = fleet(true)) {
            stateDuringPlay(fleet, 3, "3.6");
            fleet.at(4_000, () -> {
                CountDownLatch unblock =
                        fleet.fronts().front(fleet.fronts().coordinator()).blockThread();
                fleet.at(fleet.nowMillis() + 1_000, unblock::countDown);
            });
            play(fleet);
            assertWithinRate(fleet, 3, "3.6");
        }
    }

    /** Guards against too many requests, and against targets that are starved, where all of them state a rate. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void statedRatesAreUsedWhereMoreIsAskedFor(boolean engine) throws Exception {
        try (RatedFleet fleet = fleet(engine)) {
            stateDuringPlay(fleet, TARGETS, "4");
            play(fleet);
            assertWithinRate(fleet, TARGETS, "4");
            long fromMillis = STATED_AT_MILLIS + NOTICE_MILLIS;
            int used = 0;
            for (int target = 0; target < TARGETS; target++) {
                used += fleet.arrivals(target, fromMillis, STATED_UNTIL_MILLIS);
            }
            double stated = TARGETS * 4.0 * (STATED_UNTIL_MILLIS - fromMillis) / 1_000;
            assertThat((double) used, greaterThanOrEqualTo(MIN_USED_SHARE * stated));
            assertNoLimitKnown(fleet);
        }
    }

    /** Guards against requests that wait for a limited target while others have room. */
    @Test
    void whatATargetDoesNotTakeGoesElsewhere() throws Exception {
        try (RatedFleet fleet = fleet(true)) {
            stateDuringPlay(fleet, 3, "1");
            play(fleet);
            assertThat(fleet.answered(), greaterThan(fleet.sent() * 98 / 100));
        }
    }

    /** Guards against targets that stay out of use, though they take any number of requests again. */
    @ParameterizedTest
    @CsvSource({"true,1", "true,0"})
    void targetsAreUsedAgainOnceTheyStateNoRate(boolean engine, String rate) throws Exception {
        try (RatedFleet fleet = new RatedFleet(new RatedFleet.Setup(FRONTS, TARGETS, engine, LONG_SERVICE_MILLIS))) {
            stateDuringPlay(fleet, 2, rate);
            play(fleet);
            assertNoLimitKnown(fleet);
            long fromMillis = STATED_UNTIL_MILLIS + FOUND_AGAIN_MILLIS;
            for (int target = 0; target < 2; target++) {
                double perSecond =
                        fleet.arrivals(target, fromMillis, PLAY_MILLIS) * 1_000.0 / (PLAY_MILLIS - fromMillis);
                assertThat("requests a second at target " + target, perSecond, greaterThan(MIN_USED_AGAIN));
            }
        }
    }

    /** Guards against a coordinator of the release before, which grants requests without counting them. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rateIsKeptBesideFrontsOfTheReleaseBefore(boolean engine) throws Exception {
        Policy before =
                ImmutablePolicy.builder().addDisabled(Mechanism.STATED_RATES).build();
        try (RatedFleet fleet = new RatedFleet(new RatedFleet.Setup(1, TARGETS, engine, SERVICE_MILLIS))) {
            // What these fronts send themselves nobody bounds, so callers do not turn to them.
            fleet.avoid(fleet.fronts().startFront(before));
            fleet.avoid(fleet.fronts().startFront(before));
            long offsetMillis = fleet.nowMillis();
            fleet.at(offsetMillis + STATED_AT_MILLIS, () -> fleet.state(0, "1"));
            long endMillis = offsetMillis + STATED_UNTIL_MILLIS;
            fleet.callEvery(CALL_INTERVAL_MILLIS, endMillis);
            Thread.sleep(endMillis + SERVICE_MILLIS * 5 - fleet.nowMillis());
            assertThat(
                    fleet.mostInWindow(0, offsetMillis + STATED_AT_MILLIS + NOTICE_MILLIS, endMillis),
                    lessThanOrEqualTo(RatedFleet.maxInWindow(1)));
        }
    }

    private static RatedFleet fleet(boolean engine) throws Exception {
        return new RatedFleet(new RatedFleet.Setup(FRONTS, TARGETS, engine, SERVICE_MILLIS));
    }

    private static void stateDuringPlay(RatedFleet fleet, int count, String rate) {
        for (int i = 0; i < count; i++) {
            int target = i;
            fleet.at(STATED_AT_MILLIS, () -> fleet.state(target, rate));
            fleet.at(STATED_UNTIL_MILLIS, () -> fleet.stateNone(target));
        }
    }

    private static void play(RatedFleet fleet) throws InterruptedException {
        fleet.callEvery(CALL_INTERVAL_MILLIS, PLAY_MILLIS);
        Thread.sleep(PLAY_MILLIS + SERVICE_MILLIS * 5 - fleet.nowMillis());
    }

    private static void assertWithinRate(RatedFleet fleet, int count, String rate) {
        int allowed = RatedFleet.maxInWindow(Double.parseDouble(rate));
        for (int target = 0; target < count; target++) {
            assertThat(
                    "most in 4 s at target " + target,
                    fleet.mostInWindow(target, STATED_AT_MILLIS + NOTICE_MILLIS, STATED_UNTIL_MILLIS),
                    lessThanOrEqualTo(allowed));
        }
    }

    private static void assertNoLimitKnown(RatedFleet fleet) {
        assertThat("no front takes a target for limited", fleet.noLimitKnown(), is(true));
    }
}
