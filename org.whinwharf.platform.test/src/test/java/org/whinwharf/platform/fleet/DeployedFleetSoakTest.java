package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The deployed fronts as processes between workers and callers, all of which have faults in overlapping series.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on.
 */
class DeployedFleetSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 2);
    private static final int MIN_SUCCESSES = 100;
    private static final int MAX_PRINTED = 3;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /** Guards against breaches of MIXED, TWICE, REFUSED, ORDER, DRAIN and LOST by real processes under faults. */
    @ParameterizedTest
    @MethodSource("seeds")
    void fleetKeepsTheRulesUnderFaults(long seed) throws Exception {
        FleetHistory history;
        List<String> breaches = new ArrayList<>();
        try (FleetPlay play = new FleetPlay(new Random(seed), StreamEnds.WHOLE)) {
            history = play.play();
            breaches.addAll(FleetChecks.mixed(history));
            breaches.addAll(FleetChecks.twice(history));
            breaches.addAll(FleetChecks.refused(history));
            breaches.addAll(FleetChecks.order(history));
            breaches.addAll(FleetChecks.drain(history, play::inTouch));
            breaches.addAll(FleetChecks.lost(history, play::inTouch));
        }
        System.out.println(FleetSummary.of(seed, history, breaches));
        breaches.sort(Comparator.comparingInt(String::length));
        assertThat(
                breaches.size() + " breaches; again: mvn -o -pl org.whinwharf.platform.test -am"
                        + " -Dtest=DeployedFleetSoakTest -Dsurefire.failIfNoSpecifiedTests=false"
                        + " -Dwhinwharf.soak.first=" + seed + " -Dwhinwharf.soak.seeds=1 verify",
                breaches.subList(0, Math.min(MAX_PRINTED, breaches.size())),
                empty());
        long successes =
                history.answers().stream().filter(CallerAnswer::succeeded).count();
        assertThat("successes", successes, greaterThan((long) MIN_SUCCESSES));
    }
}
