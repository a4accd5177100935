package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The deployed fronts as processes that are stopped and started again in overlapping series under callers that keep
 * their connections. Each seed is played once, and judged by each test.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on;
 * {@code -Dwhinwharf.soak.stops} names {@linkplain StopTrait traits} of the plays, of which there are none otherwise;
 * {@code -Dwhinwharf.soak.logs} names a folder for the logs of fronts and all breaches.
 */
class StoppedFleetSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 2);
    private static final Optional<Path> LOGS =
            Optional.ofNullable(System.getProperty("whinwharf.soak.logs")).map(Path::of);
    private static final Set<StopTrait> TRAITS = traits(System.getProperty("whinwharf.soak.stops", ""));
    private static final int MIN_SUCCESSES = 200;
    private static final int MIN_STOPS = 5;
    private static final int MAX_PRINTED = 3;
    /** Bound of the stop of a front without requests, which must not wait for the end of the grace time. */
    private static final long MAX_IDLE_STOP_MILLIS = 5_000;

    private static final Map<Long, StopHistory> HISTORIES = new HashMap<>();

    private static Set<StopTrait> traits(String names) {
        return Arrays.stream(names.split(","))
                .filter(name -> !name.isEmpty())
                .map(StopTrait::valueOf)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /** Guards against requests that a front reads whole during its stop and cuts when it halts. */
    @ParameterizedTest
    @MethodSource("seeds")
    void requestsReadWholeAreNotCutByStops(long seed) throws Exception {
        assertNone(seed, StopChecks.lost(history(seed)));
    }

    /** Guards against refusals by a stop of which callers can't know yet. */
    @ParameterizedTest
    @MethodSource("seeds")
    void requestsRightAfterAStopSignalAreNotRefused(long seed) throws Exception {
        assertNone(seed, StopChecks.refusedEarly(history(seed)));
    }

    /** Guards against stops that refuse what has run, or repeat, mix or reorder what they end. */
    @ParameterizedTest
    @MethodSource("seeds")
    void stopsKeepTheOtherRules(long seed) throws Exception {
        FleetHistory history = history(seed).fleet();
        List<String> breaches = new ArrayList<>(FleetChecks.mixed(history));
        breaches.addAll(FleetChecks.twice(history));
        breaches.addAll(FleetChecks.refused(history));
        breaches.addAll(FleetChecks.order(history));
        assertNone(seed, breaches);
    }

    /** Guards against fronts that wait for the end of the grace time though no request is in flight. */
    @ParameterizedTest
    @MethodSource("seeds")
    void frontWithoutRequestsStopsEarly(long seed) throws Exception {
        assertThat(history(seed).idleStop().millis(), lessThan(MAX_IDLE_STOP_MILLIS));
    }

    private static void assertNone(long seed, List<String> breaches) {
        List<String> shortestFirst = breaches.stream()
                .sorted(Comparator.comparingInt(String::length))
                .toList();
        assertThat(
                breaches.size() + " breaches; again: mvn -o -pl org.whinwharf.platform.test -am"
                        + " -Dtest=StoppedFleetSoakTest -Dsurefire.failIfNoSpecifiedTests=false"
                        + " -Dwhinwharf.soak.stops="
                        + TRAITS.stream().map(StopTrait::name).collect(Collectors.joining(","))
                        + " -Dwhinwharf.soak.first=" + seed + " -Dwhinwharf.soak.seeds=1 verify",
                shortestFirst.subList(0, Math.min(MAX_PRINTED, breaches.size())),
                empty());
    }

    /** Returns the records of a seed's play, which is played if it was not yet. */
    private static StopHistory history(long seed) throws Exception {
        StopHistory known = HISTORIES.get(seed);
        if (known != null) {
            return known;
        }
        try (StopPlay play = new StopPlay(new Random(seed), TRAITS)) {
            StopHistory history = play.play();
            List<String> lost = StopChecks.lost(history);
            System.out.println(
                    TRAITS + " " + StopChecks.figures(history) + "; " + FleetSummary.of(seed, history.fleet(), lost));
            lost.forEach(text -> System.out.println(text.lines().findFirst().orElseThrow()));
            keepLogs(seed, play.fleet(), lost);
            assertThat("stops", history.stops().size(), greaterThan(MIN_STOPS));
            long successes = history.fleet().answers().stream()
                    .filter(CallerAnswer::succeeded)
                    .count();
            assertThat("successes", successes, greaterThan((long) MIN_SUCCESSES));
            HISTORIES.put(seed, history);
            return history;
        }
    }

    private static void keepLogs(long seed, DeployedFleet fleet, List<String> breaches) throws IOException {
        if (LOGS.isEmpty()) {
            return;
        }
        Path folder = Files.createDirectories(LOGS.get().resolve("stops-" + seed));
        Files.write(folder.resolve("breaches.txt"), breaches);
        Files.writeString(folder.resolve("clock.txt"), System.nanoTime() + " " + Instant.now() + "\n");
        for (FrontProcess front : fleet.fronts()) {
            Files.writeString(folder.resolve(front.name() + ".log"), front.log());
        }
    }
}
