package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.stream.ImmutableTargetHistory;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.stream.TargetHistory;

/** Tests streams that callers resume after all fronts were killed at once, with everything that they remembered. */
class RejoinedStreamTest {
    private static final List<String> TWO_VERSIONS = List.of("v1", "v2", "v1", "v2", "v1", "v2");
    private static final List<String> ONE_VERSION = List.of("v1", "v1", "v1", "v1", "v1", "v1");
    /** Time for which the store keeps its history; longer than a stream lasts with the timeout of these fleets. */
    private static final long HISTORY_MILLIS = 20_000;

    private static final long CLOCK_DIFFERENCE_MILLIS = 500;
    private static final int FRONTS = 3;
    private static final int STREAMS = 20;

    /** Guards against taking the targets that are there for proof that there was no other version. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamIsNotJoinedFromTwoVersionsAfterThoseOfTheFirstHaveLeft(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(TWO_VERSIONS, engine)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            List<FrontFixture> restarted = fleet.fleet()
                    .restartAllFronts(target -> fleet.fleet().version(target).equals("v2"));
            assertThat("mixed", mixed(resume(fleet, restarted, begun)), is(0L));
        }
    }

    /** Guards against a version that is guessed while targets of two serve. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamIsNotJoinedFromTwoVersionsWhileBothServe(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(TWO_VERSIONS, engine)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            List<FrontFixture> restarted = fleet.fleet().restartAllFronts(target -> true);
            assertThat("mixed", mixed(resume(fleet, restarted, begun)), is(0L));
        }
    }

    /** Guards against refusing streams while both versions serve, though their targets report that they still run. */
    @Test
    void streamIsResumedAtTheVersionOfTheTargetThatReportsItsRun() throws Exception {
        try (VersionedFleet fleet = start(TWO_VERSIONS, true)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            fleet.reportRuns();
            List<FrontFixture> restarted = fleet.fleet().restartAllFronts(target -> true);
            List<VersionedFleet.Received> resumed = resume(fleet, restarted, begun);
            assertThat("mixed", mixed(resumed), is(0L));
            assertThat("went on", wentOn(resumed), is((long) STREAMS));
        }
    }

    /** Guards against the version of a target that has worked on the first attempt too, and whose events nobody got. */
    @Test
    void streamIsNotJoinedAtTheVersionOfARunWhoseEventsTheCallerDidNotGet() throws Exception {
        try (VersionedFleet fleet = start(TWO_VERSIONS, true)) {
            fleet.reportRuns();
            List<VersionedFleet.Received> begun = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                begun.add(new VersionedFleet.Received("s" + i, "a" + i, List.of("v1", "v1", "v1"), "", false));
                fleet.addRun(TWO_VERSIONS.indexOf("v2"), "a" + i);
            }
            List<FrontFixture> restarted = fleet.fleet().restartAllFronts(target -> true);
            assertThat("mixed", mixed(resume(fleet, restarted, begun)), is(0L));
        }
    }

    /** Guards against refusing all streams where the store's history shows that there was one version all along. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamOfTheOnlyVersionIsResumed(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(ONE_VERSION, engine)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            List<FrontFixture> restarted = fleet.fleet().restartAllFronts(target -> true);
            restarted.forEach(front -> addHistory(front, HISTORY_MILLIS));
            List<VersionedFleet.Received> resumed = resume(fleet, restarted, begun);
            assertThat("went on", wentOn(resumed), is((long) STREAMS));
        }
    }

    /** Guards against a version that the store's history names and that is overlooked, because its targets are gone. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamIsNotResumedIfTheHistoryNamesAnotherVersion(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(TWO_VERSIONS, engine)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            List<FrontFixture> restarted = fleet.fleet()
                    .restartAllFronts(target -> fleet.fleet().version(target).equals("v2"));
            restarted.forEach(front -> addHistory(front, HISTORY_MILLIS, "v1"));
            List<VersionedFleet.Received> resumed = resume(fleet, restarted, begun);
            assertThat("mixed", mixed(resumed), is(0L));
            assertThat("went on", wentOn(resumed), is(0L));
        }
    }

    /** Guards against a history that tells nothing, because a target left of which it knows only that. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamIsNotResumedIfAnUnknownTargetHasLeft(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(TWO_VERSIONS, engine)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            List<FrontFixture> restarted = fleet.fleet()
                    .restartAllFronts(target -> fleet.fleet().version(target).equals("v2"));
            restarted.forEach(front -> addHistory(front, 0));
            assertThat("mixed", mixed(resume(fleet, restarted, begun)), is(0L));
        }
    }

    /** Guards against a front that takes its whole life for observation, though it was cut off meanwhile. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void frontThatCaughtUpByACopyDoesNotTakeItForTheWholePast(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(1, ONE_VERSION, engine)) {
            FrontFixture front = fleet.fleet().front(0);
            front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            assertThat("resumed", resumeUnknown(fleet, front, "a").wentOn(), is(true));
            front.run(() -> front.front().feed().applySnapshot(List.of(), 2));
            assertThat("resumed after a gap", resumeUnknown(fleet, front, "b").wentOn(), is(false));
        }
    }

    /** Guards against a history that hides a gap, because it was read before the gap and told after it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void historyThatWasReadBeforeAGapDoesNotCoverIt(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(ONE_VERSION, engine)) {
            FrontFixture front = fleet.fleet().front(0);
            front.run(() -> {
                Consumer<TargetHistory> consumer = front.front().historyConsumer();
                front.front().feed().applySnapshot(List.of(), 1);
                front.front().feed().applySnapshot(List.of(), 2);
                consumer.accept(ImmutableTargetHistory.builder()
                        .reachMillis(HISTORY_MILLIS)
                        .build());
            });
            assertThat("resumed", resumeUnknown(fleet, front, "a").wentOn(), is(false));
        }
    }

    /** Guards against a clock ahead of a target's, by which its start under a known id looks older than the stream. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamIsNotResumedIfOnlyTheClockShowsThatNoTargetWasReplaced(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(ONE_VERSION, engine)) {
            FrontFixture front = fleet.fleet().restartAllFronts(target -> true).get(0);
            long spanMillis = StreamOrigins.maxAgeMillis(FleetLimits.DEFAULT.timeoutMillis());
            front.run(() -> front.front()
                    .historyConsumer()
                    .accept(ImmutableTargetHistory.builder()
                            .reachMillis(HISTORY_MILLIS)
                            .putUnexplainedStarts(
                                    "service", System.currentTimeMillis() - spanMillis - CLOCK_DIFFERENCE_MILLIS)
                            .build()));
            assertThat("resumed", resumeUnknown(fleet, front, "a").wentOn(), is(false));
        }
    }

    /** Guards against forgetting the version of a target that comes back at another address with another version. */
    @Test
    void versionOfATargetThatMovedIsNotForgotten() throws Exception {
        try (FrontFixture front = new FrontFixture()) {
            front.publish("t", front.ip(), 9, 8, 1, 0, "v1");
            front.publish("u", front.ip(), 10, 8, 1, 0, "v2");
            front.publish("t", front.ip(), 11, 8, 2, 0, "v2");
            front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            Map<String, String> only = new HashMap<>();
            front.run(() -> only.putAll(front.front().versions().onlyVersions()));
            assertThat(only, is(Map.of()));
        }
    }

    private static VersionedFleet.Received resumeUnknown(VersionedFleet fleet, FrontFixture front, String stream)
            throws Exception {
        return fleet.call(
                front,
                "resumed-" + stream,
                new VersionedFleet.Received(stream, "unknown-" + stream, List.of("v1", "v1", "v1"), "", false));
    }

    private static void addHistory(FrontFixture front, long reachMillis, String... versions) {
        ImmutableTargetHistory.Builder history =
                ImmutableTargetHistory.builder().reachMillis(reachMillis);
        for (String version : versions) {
            history.addVersions(new TargetHistory.PublishedVersion("service", version));
        }
        front.run(() -> front.front().historyConsumer().accept(history.build()));
    }

    private static long wentOn(List<VersionedFleet.Received> streams) {
        return streams.stream().filter(VersionedFleet.Received::wentOn).count();
    }

    private static VersionedFleet start(List<String> versions, boolean engine) throws Exception {
        return start(FRONTS, versions, engine);
    }

    private static VersionedFleet start(int fronts, List<String> versions, boolean engine) throws Exception {
        return new VersionedFleet(fronts, versions, engine, 1, VersionedFleet.Interruption.BROKEN_OFF);
    }

    private static List<VersionedFleet.Received> begin(VersionedFleet fleet) throws Exception {
        List<VersionedFleet.Received> begun = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            begun.add(fleet.call(i % FRONTS, "a" + i, VersionedFleet.Received.nothing("s" + i)));
        }
        return begun;
    }

    private static List<VersionedFleet.Received> resume(
            VersionedFleet fleet, List<FrontFixture> fronts, List<VersionedFleet.Received> begun) throws Exception {
        List<VersionedFleet.Received> resumed = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            resumed.add(fleet.call(fronts.get(i % FRONTS), "b" + i, begun.get(i)));
        }
        return resumed;
    }

    private static long mixed(List<VersionedFleet.Received> streams) {
        return streams.stream().filter(VersionedFleet.Received::mixed).count();
    }
}
