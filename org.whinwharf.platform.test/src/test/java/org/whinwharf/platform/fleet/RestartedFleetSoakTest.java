package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The deployed fronts as processes before workers that restart under their id and address at another version, which the
 * store learns later than callers.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on;
 * {@code -Dwhinwharf.soak.restarts} names {@linkplain RestartTrait traits} instead of those of the two plays of each
 * seed, and {@code -Dwhinwharf.soak.logs} a folder for the logs of fronts, the records of workers and all breaches.
 */
class RestartedFleetSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 1);
    private static final Optional<Path> LOGS =
            Optional.ofNullable(System.getProperty("whinwharf.soak.logs")).map(Path::of);
    private static final int MIN_SUCCESSES = 50;
    private static final int MAX_PRINTED = 3;
    /** Time after a joint kill in which attempts to resume count as made after it. */
    private static final long AFTER_KILL_NANOS = TimeUnit.SECONDS.toNanos(6);

    static Stream<Arguments> plays() {
        return plays(
                Set.of(RestartTrait.PUBLISHED_LATE, RestartTrait.BEATS, RestartTrait.REPORTS),
                Set.of(
                        RestartTrait.PUBLISHED_LATE,
                        RestartTrait.BEATS,
                        RestartTrait.SKEWED_CLOCKS,
                        RestartTrait.ENGINE));
    }

    /** Returns the plays of all seeds: one with each set of traits, unless a property names the traits. */
    @SafeVarargs
    static Stream<Arguments> plays(Set<RestartTrait>... defaults) {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .boxed()
                .flatMap(seed -> traits(defaults).map(traits -> Arguments.of(traits, seed)));
    }

    private static Stream<Set<RestartTrait>> traits(Set<RestartTrait>[] defaults) {
        String names = System.getProperty("whinwharf.soak.restarts");
        if (names == null) {
            return Arrays.stream(defaults).map(TreeSet::new);
        }
        return Stream.of(Arrays.stream(names.split(","))
                .map(RestartTrait::valueOf)
                .collect(Collectors.toCollection(TreeSet::new)));
    }

    /** Guards against streams joined from the events of two versions around restarts that are published late. */
    @ParameterizedTest
    @MethodSource("plays")
    void streamsHoldEventsOfOneVersionAroundRestarts(Set<RestartTrait> traits, long seed) throws Exception {
        playAndCheck(RestartedFleetSoakTest.class, traits, seed);
    }

    /**
     * Plays and checks all rules.
     *
     * @param test test class that the message of a failure names
     */
    static void playAndCheck(Class<?> test, Set<RestartTrait> traits, long seed) throws Exception {
        FleetHistory history;
        List<String> joins;
        List<Long> jointKillsNanos;
        try (FleetPlay play = FleetPlay.ofRestarts(new Random(seed), traits, new DeployedFleet())) {
            history = play.play();
            joins = FleetChecks.version(history);
            jointKillsNanos = play.jointKillsNanos();
            keepLogs(traits + "-" + seed, play, history, joins);
        }
        List<String> breaches = new ArrayList<>(joins);
        breaches.addAll(FleetChecks.mixed(history));
        breaches.addAll(FleetChecks.twice(history));
        breaches.addAll(FleetChecks.refused(history));
        breaches.addAll(FleetChecks.order(history));
        System.out.println(traits + " " + FleetSummary.ofTakeUps(history, joins) + "; "
                + FleetSummary.ofTakeUpsAfter(history, jointKillsNanos, AFTER_KILL_NANOS) + "; "
                + FleetSummary.of(seed, history, breaches));
        assertThat(
                breaches.size() + " breaches; again: mvn -o -pl org.whinwharf.platform.test -am"
                        + " -Dtest=" + test.getSimpleName() + " -Dsurefire.failIfNoSpecifiedTests=false"
                        + " -Dwhinwharf.soak.restarts="
                        + traits.stream().map(RestartTrait::name).collect(Collectors.joining(","))
                        + " -Dwhinwharf.soak.first=" + seed + " -Dwhinwharf.soak.seeds=1 verify",
                breaches.subList(0, Math.min(MAX_PRINTED, breaches.size())),
                empty());
        long successes =
                history.answers().stream().filter(CallerAnswer::succeeded).count();
        assertThat("successes", successes, greaterThan((long) MIN_SUCCESSES));
    }

    private static void keepLogs(String name, FleetPlay play, FleetHistory history, List<String> joins)
            throws IOException {
        if (LOGS.isEmpty()) {
            return;
        }
        Path folder = Files.createDirectories(LOGS.get().resolve(name));
        Files.write(folder.resolve("joins.txt"), joins);
        Files.writeString(folder.resolve("clock.txt"), System.nanoTime() + " " + Instant.now() + "\n");
        Files.write(
                folder.resolve("workers.txt"),
                play.workerEvents().stream().map(WorkerEvent::toString).toList());
        Files.write(
                folder.resolve("runs.txt"),
                history.runs().stream().map(WorkerRun::toString).toList());
        for (FrontProcess front : play.fleet().fronts()) {
            Files.writeString(folder.resolve(front.name() + ".log"), front.log());
        }
    }
}
