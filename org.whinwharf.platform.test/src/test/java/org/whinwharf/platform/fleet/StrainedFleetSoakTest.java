package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The deployed fronts as processes under the faults of {@link DeployedFleetSoakTest}, and strains beside them.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on;
 * {@code -Dwhinwharf.soak.strains} names some strains instead of all, {@code -Dwhinwharf.soak.ends} other ends of
 * streams, {@code -Dwhinwharf.soak.other} the root of another build that every other front runs, and
 * {@code -Dwhinwharf.soak.logs} a folder for the logs of fronts and all breaches.
 */
class StrainedFleetSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 1);
    private static final StreamEnds ENDS =
            StreamEnds.valueOf(System.getProperty("whinwharf.soak.ends", StreamEnds.WHOLE.name()));
    private static final Optional<Path> OTHER =
            Optional.ofNullable(System.getProperty("whinwharf.soak.other")).map(Path::of);
    private static final Optional<Path> LOGS =
            Optional.ofNullable(System.getProperty("whinwharf.soak.logs")).map(Path::of);
    private static final int MIN_SUCCESSES = 50;
    private static final int MAX_PRINTED = 3;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    private static Set<Strain> strains() {
        String names = System.getProperty("whinwharf.soak.strains");
        if (names == null) {
            return new TreeSet<>(List.of(Strain.values()));
        }
        return Arrays.stream(names.split(","))
                .filter(name -> !name.isEmpty())
                .map(Strain::valueOf)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Guards against breaches of the rules by fronts that are stopped for a while, cut off from workers, or relay. */
    @ParameterizedTest
    @MethodSource("seeds")
    void strainedFleetKeepsTheRules(long seed) throws Exception {
        FleetHistory history;
        List<String> breaches = new ArrayList<>();
        int silenced;
        DeployedFleet fleet = new DeployedFleet(i -> i % 2 == 0 ? Optional.empty() : OTHER);
        try (FleetPlay play = new FleetPlay(new Random(seed), ENDS, strains(), fleet)) {
            history = play.play();
            silenced = play.silenced();
            breaches.addAll(FleetChecks.mixed(history));
            breaches.addAll(FleetChecks.twice(history));
            breaches.addAll(FleetChecks.refused(history));
            breaches.addAll(FleetChecks.order(history));
            breaches.addAll(FleetChecks.drain(history, play::inTouch));
            breaches.addAll(FleetChecks.lost(history, play::inTouch));
            keepLogs(seed, fleet, breaches);
        }
        System.out.println(strains() + " " + ENDS + " " + OTHER + " " + FleetSummary.of(seed, history, breaches)
                + ", silenced connections " + silenced);
        breaches.sort(Comparator.comparingInt(String::length));
        assertThat(
                breaches.size() + " breaches; again: mvn -o -pl org.whinwharf.platform.test -am"
                        + " -Dtest=StrainedFleetSoakTest -Dsurefire.failIfNoSpecifiedTests=false"
                        + " -Dwhinwharf.soak.strains="
                        + strains().stream().map(Strain::name).collect(Collectors.joining(","))
                        + " -Dwhinwharf.soak.ends="
                        + ENDS + " -Dwhinwharf.soak.first=" + seed + " -Dwhinwharf.soak.seeds=1 verify",
                breaches.subList(0, Math.min(MAX_PRINTED, breaches.size())),
                empty());
        long successes =
                history.answers().stream().filter(CallerAnswer::succeeded).count();
        assertThat("successes", successes, greaterThan((long) MIN_SUCCESSES));
    }

    private static void keepLogs(long seed, DeployedFleet fleet, List<String> breaches) throws Exception {
        if (LOGS.isEmpty()) {
            return;
        }
        Path folder = Files.createDirectories(LOGS.get().resolve(strains() + "-" + ENDS + "-" + seed));
        Files.write(folder.resolve("breaches.txt"), breaches);
        for (FrontProcess front : fleet.fronts()) {
            Files.writeString(folder.resolve(front.name() + ".log"), front.log());
        }
    }
}
