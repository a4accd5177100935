package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests streams whose first target works on them, while its connection brings no event. */
class UnheardRunTest {
    private static final List<String> TWO_VERSIONS = List.of("v1", "v2", "v1", "v2", "v1", "v2");
    private static final int FRONTS = 3;
    private static final int STREAMS = 20;
    /** A run is silent after four objectives, and a stream of two silent runs is refused at the timeout. */
    private static final FleetLimits LIMITS = new FleetLimits(2, 8_000, 500, 2, 100);

    /** Guards against two versions at work on one attempt, of which only the one with no event reports it later. */
    @ParameterizedTest
    @EnumSource(VersionedFleet.FirstRun.class)
    void streamIsNotJoinedAtTheVersionOfARunThatWasReplaced(VersionedFleet.FirstRun firstRun) throws Exception {
        try (VersionedFleet fleet = start(LIMITS, VersionedFleet.Interruption.BROKEN_OFF)) {
            List<Integer> unheard = targetsOf("v2");
            unheard.forEach(target -> fleet.loseEvents(target, firstRun));
            fleet.reportRuns();
            List<VersionedFleet.Received> begun = begin(fleet, firstRun);
            assertThat("streams begun at unheard targets", reported(fleet, unheard), greaterThan(0L));
            targetsOf("v1").forEach(fleet::dropRuns);
            List<FrontFixture> restarted = fleet.fleet().restartAllFronts(target -> true);
            List<VersionedFleet.Received> resumed = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                VersionedFleet.Received before = begun.get(i);
                boolean brokenOff = !before.complete() && !before.versions().isEmpty();
                resumed.add(brokenOff ? fleet.call(restarted.get(i % FRONTS), "b" + i, before) : before);
            }
            assertThat(
                    "mixed",
                    resumed.stream().filter(VersionedFleet.Received::mixed).count(),
                    is(0L));
        }
    }

    /** Guards against losing streams of an unheard target while others of its version serve. */
    @ParameterizedTest
    @EnumSource(VersionedFleet.FirstRun.class)
    void streamOfAnUnheardTargetBeginsAtAnotherOfItsVersion(VersionedFleet.FirstRun firstRun) throws Exception {
        try (VersionedFleet fleet = start(LIMITS.withAttempts(3), VersionedFleet.Interruption.NONE)) {
            fleet.loseEvents(1, firstRun);
            fleet.reportRuns();
            List<VersionedFleet.Received> begun = begin(fleet, firstRun);
            assertThat("streams begun at the unheard target", reported(fleet, List.of(1)), greaterThan(0L));
            assertThat(
                    "whole",
                    begun.stream().filter(VersionedFleet.Received::wentOn).count(),
                    is((long) STREAMS));
        }
    }

    /** Guards against a version that is required though targets report no runs, or all are of it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamOfAnUnheardTargetBeginsAtAnyOther(boolean engine) throws Exception {
        List<String> versions = engine ? List.of("v1", "v1", "v1") : List.of("v1", "v2", "v1");
        try (VersionedFleet fleet = new VersionedFleet(
                FRONTS, versions, engine, LIMITS.withAttempts(3), VersionedFleet.Interruption.NONE)) {
            fleet.loseEvents(1, VersionedFleet.FirstRun.SILENT);
            List<VersionedFleet.Received> begun = begin(fleet, VersionedFleet.FirstRun.SILENT);
            assertThat("streams begun at the unheard target", reported(fleet, List.of(1)), greaterThan(0L));
            assertThat(
                    "whole",
                    begun.stream().filter(VersionedFleet.Received::wentOn).count(),
                    is((long) STREAMS));
        }
    }

    private static VersionedFleet start(FleetLimits limits, VersionedFleet.Interruption interruption) throws Exception {
        return new VersionedFleet(FRONTS, TWO_VERSIONS, true, limits, interruption);
    }

    private static List<Integer> targetsOf(String version) {
        return IntStream.range(0, TWO_VERSIONS.size())
                .filter(target -> TWO_VERSIONS.get(target).equals(version))
                .boxed()
                .toList();
    }

    /** Returns the number of streams that any of the targets reports. */
    private static long reported(VersionedFleet fleet, List<Integer> targets) {
        return IntStream.range(0, STREAMS)
                .filter(i -> targets.stream().anyMatch(target -> fleet.reports(target, "a" + i)))
                .count();
    }

    /** Begins all streams, and only some at once if they are reset: many resets at once look like crashes. */
    private static List<VersionedFleet.Received> begin(VersionedFleet fleet, VersionedFleet.FirstRun firstRun)
            throws Exception {
        boolean atOnce = firstRun == VersionedFleet.FirstRun.SILENT;
        ExecutorService callers = Executors.newFixedThreadPool(atOnce ? STREAMS : TWO_VERSIONS.size());
        try {
            List<Future<VersionedFleet.Received>> calls = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                int number = i;
                calls.add(callers.submit(() ->
                        fleet.call(number % FRONTS, "a" + number, VersionedFleet.Received.nothing("s" + number))));
            }
            List<VersionedFleet.Received> begun = new ArrayList<>();
            for (Future<VersionedFleet.Received> call : calls) {
                begun.add(call.get());
            }
            return begun;
        } finally {
            callers.shutdownNow();
        }
    }
}
