package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.stream.ImmutableTargetHistory;

/**
 * Verifies the version of streams that no front remembers, around targets that have restarted under their ids with
 * another version and are not published anew yet.
 */
class UnpublishedProcessTest {
    private static final List<String> ONE_VERSION = List.of("v1", "v1", "v1", "v1");
    private static final int FRONTS = 2;
    private static final int STREAMS = 16;
    private static final long COLD_MILLIS = 10_000;
    /** Longer than the time for which fronts use reports again. */
    private static final long REUSE_MILLIS = 1_200;
    /** Time for which the store keeps its history; longer than a stream lasts with the timeout of these fleets. */
    private static final long HISTORY_MILLIS = 20_000;

    /** Guards against taking the only published version for that of a stream which an unpublished process began. */
    @Test
    void streamOfAnUnpublishedProcessIsNotMixedAfterAKillOfAllFronts() throws Exception {
        killAllFronts(true);
    }

    /** Guards against the same at targets that do not report. */
    @Test
    void streamOfAnUnpublishedProcessThatDoesNotReportIsNotMixedAfterAKillOfAllFronts() throws Exception {
        killAllFronts(false);
    }

    /** Guards against taking a process that does not report yet for the published one, at a service that reports. */
    @ParameterizedTest
    @ValueSource(ints = {404, 503})
    void streamOfAnUnpublishedProcessThatDoesNotReportYetIsNotMixedAfterAKillOfAllFronts(int status) throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            fleet.restart(0, "v2");
            List<VersionedFleet.Received> begun = begin(fleet);
            assertThat("streams begun at the unpublished process", beganAtV2(begun), greaterThan(0L));
            fleet.reportRuns();
            fleet.refuseReports(0, status);
            List<FrontFixture> fronts = restartAllFronts(fleet, true);
            publishCold(fleet);
            assertThat("streams with events of two versions", mixedOfV2(resume(fleet, fronts, begun)), is(0L));
        }
    }

    private static void killAllFronts(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(engine, VersionedFleet.Interruption.HELD)) {
            fleet.restart(0, "v2");
            List<VersionedFleet.Received> begun = begin(fleet);
            assertThat("streams begun at the unpublished process", beganAtV2(begun), greaterThan(0L));
            fleet.reportRuns();
            List<FrontFixture> fronts = restartAllFronts(fleet, true);
            publishCold(fleet);
            assertThat("streams with events of two versions", mixedOfV2(resume(fleet, fronts, begun)), is(0L));
        }
    }

    /** Guards against believing a peer that has not learnt of the unpublished process. */
    @Test
    void streamOfAnUnpublishedProcessIsNotMixedIfAPeerCertifiesTheOnlyVersion() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            FrontFixture fresh = fleet.fleet().startFrontBeside(0);
            FrontFixture.await(() -> fresh.advertisedFronts() == FRONTS + 1);
            fleet.restart(0, "v2");
            fleet.reportRuns();
            for (FrontFixture front :
                    List.of(fresh, fleet.fleet().front(0), fleet.fleet().front(1))) {
                front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            }
            List<VersionedFleet.Received> resumed = resume(fleet, List.of(fresh), unknownOfV2());
            assertThat("streams with events of two versions", mixedOfV2(resumed), is(0L));
        }
    }

    /** Guards against certifying to peers a version that this front knows to be doubtful. */
    @Test
    void frontThatKnowsOfAnUnpublishedProcessCertifiesNoVersion() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            FrontFixture front = fleet.fleet().front(0);
            fleet.restart(0, "v1");
            fleet.reportRuns();
            front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            resume(fleet, List.of(front), unknown("v1"));
            assertThat("certified while unpublished", certifiesVersion(front), is(false));
            fleet.publishRestarted(0);
            assertThat("certified once published", certifiesVersion(front), is(true));
        }
    }

    /** Guards against the same for a caller that names no first attempt, so that no peer is asked. */
    @Test
    void streamOfAnUnpublishedProcessIsNotMixedIfItsCallerNamesNoFirstAttempt() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            FrontFixture front = fleet.fleet().front(0);
            fleet.restart(0, "v2");
            fleet.reportRuns();
            front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            publishCold(fleet);
            List<VersionedFleet.Received> unnamed = unknownOfV2().stream()
                    .map(stream -> new VersionedFleet.Received(stream.stream(), "", stream.versions(), "", false))
                    .toList();
            assertThat(
                    "streams with events of two versions", mixedOfV2(resume(fleet, List.of(front), unnamed)), is(0L));
        }
    }

    /** Guards against reports that are older than the stream: a target has restarted since. */
    @Test
    void streamOfAProcessThatStartedAfterTheLatestReportsIsNotMixed() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            FrontFixture front = fleet.fleet().front(0);
            fleet.reportRuns();
            front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            publishCold(fleet);
            VersionedFleet.Received before =
                    new VersionedFleet.Received("before", "", List.of("v1", "v1", "v1"), "", false);
            assertThat("asks for reports", fleet.call(front, "c", before).wentOn(), is(true));
            fleet.restart(0, "v2");
            VersionedFleet.Received after =
                    new VersionedFleet.Received("after", "", List.of("v2", "v2", "v2"), "", false);
            assertThat("versions", fleet.call(front, "d", after).mixed(), is(false));
        }
    }

    /** Guards against taking a report that states no start for one of the published process. */
    @Test
    void streamReportedWithoutAStartIsNotMixed() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            fleet.restart(0, "v2");
            List<VersionedFleet.Received> begun = begin(fleet);
            assertThat("streams begun at the unpublished process", beganAtV2(begun), greaterThan(0L));
            fleet.reportRuns();
            fleet.omitStarts();
            List<VersionedFleet.Received> resumed = resume(fleet, restartAllFronts(fleet, false), begun);
            assertThat("streams with events of two versions", mixedOfV2(resumed), is(0L));
        }
    }

    /** Guards against judging a report by the entry at the time of the question, if it was published meanwhile. */
    @Test
    void streamReportedByATargetThatIsPublishedMeanwhileGoesOnAtItsVersion() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            fleet.restart(0, "v2");
            List<VersionedFleet.Received> begun = begin(fleet);
            fleet.reportRuns();
            List<FrontFixture> fronts = restartAllFronts(fleet, false);
            Thread.sleep(REUSE_MILLIS);
            AtomicBoolean published = new AtomicBoolean();
            fleet.beforeReport(target -> {
                if (target == 0 && published.compareAndSet(false, true)) {
                    fleet.publishRestarted(0);
                }
            });
            List<VersionedFleet.Received> resumed = resume(fleet, fronts, begun);
            assertThat(
                    "streams with events of two versions",
                    resumed.stream().filter(VersionedFleet.Received::mixed).count(),
                    is(0L));
            assertThat(
                    "streams of the new version that went on",
                    resumed.stream()
                            .filter(stream -> stream.versions().contains("v2") && stream.wentOn())
                            .count(),
                    greaterThan(0L));
        }
    }

    /** Guards against remembering a version that was inferred before the publication of another one. */
    @Test
    void streamResumedBeforeThePublicationIsNotMixedAfterIt() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.EACH_RUN_HELD)) {
            FrontFixture front = fleet.fleet().front(0);
            fleet.restart(0, "v2");
            fleet.reportRuns();
            front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            List<VersionedFleet.Received> resumed = new ArrayList<>();
            for (VersionedFleet.Received stream : unknownOfV2()) {
                resumed.add(fleet.callAndLeave(0, "b" + stream.stream(), stream));
            }
            fleet.publishRestarted(0);
            List<VersionedFleet.Received> again = new ArrayList<>();
            for (VersionedFleet.Received stream : resumed) {
                // Those that have events of two versions by now do not show what was remembered.
                again.add(stream.mixed() ? stream : fleet.callAndLeave(0, "c" + stream.stream(), stream));
            }
            assertThat(
                    "streams mixed before and after the publication",
                    List.of(mixedOfV2(resumed), mixedOfV2(again) - mixedOfV2(resumed)),
                    is(List.of(0L, 0L)));
        }
    }

    /** Guards against refusing streams where all targets state that they are the published processes. */
    @Test
    void streamOfTheOnlyVersionGoesOnIfAllTargetsConfirmTheirStart() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            fleet.reportRuns();
            List<VersionedFleet.Received> resumed = resume(fleet, restartAllFronts(fleet, true), unknown("v1"));
            assertThat("went on", wentOn(resumed), is((long) STREAMS));
        }
    }

    /** Guards against a service that stays in doubt after the restart of a target was published with its version. */
    @Test
    void streamOfTheOnlyVersionGoesOnOnceARestartIsPublished() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            FrontFixture front = fleet.fleet().front(0);
            fleet.restart(0, "v1");
            fleet.reportRuns();
            front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            assertThat("went on while unpublished", wentOn(resume(fleet, List.of(front), unknown("v1"))), is(0L));
            fleet.publishRestarted(0);
            Thread.sleep(REUSE_MILLIS);
            assertThat(
                    "went on once published", wentOn(resume(fleet, List.of(front), unknown("v1"))), is((long) STREAMS));
        }
    }

    /** Guards against a guess while a target does not answer: a process of another version may have served there. */
    @Test
    void onlyStreamsThatTargetsReportGoOnWhileATargetDoesNotAnswer() throws Exception {
        try (VersionedFleet fleet = start(true, VersionedFleet.Interruption.HELD)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            fleet.reportRuns();
            fleet.fleet().targets().get(0).close();
            List<VersionedFleet.Received> resumed = resume(fleet, restartAllFronts(fleet, true), begun);
            List<String> refused = resumed.stream()
                    .filter(stream -> stream.lastStatus().startsWith("HTTP/1.1 503"))
                    .map(VersionedFleet.Received::firstAttemptId)
                    .toList();
            List<String> unreported = begun.stream()
                    .map(VersionedFleet.Received::firstAttemptId)
                    .filter(attemptId -> fleet.reports(0, attemptId))
                    .toList();
            assertThat("streams begun at the target", unreported, hasSize(greaterThan(0)));
            assertThat("streams begun at the target that were not refused", unreported, everyItem(in(refused)));
            assertThat("streams that went on", wentOn(resumed), greaterThan(0L));
        }
    }

    private static VersionedFleet start(boolean engine, VersionedFleet.Interruption interruption) throws Exception {
        return new VersionedFleet(FRONTS, ONE_VERSION, engine, 1, interruption);
    }

    /** Begins streams at the first front, whose callers leave after the third event. */
    private static List<VersionedFleet.Received> begin(VersionedFleet fleet) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            sockets.add(VersionedFleet.open(fleet.fleet().front(0), "a" + i, VersionedFleet.Received.nothing("s" + i)));
        }
        List<VersionedFleet.Received> begun = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            begun.add(VersionedFleet.Received.nothing("s" + i).plus("a" + i, VersionedFleet.readHeld(sockets.get(i))));
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        return begun;
    }

    /** Returns streams that began at an unpublished process and that no front remembers. */
    private static List<VersionedFleet.Received> unknownOfV2() {
        return unknown("v2");
    }

    private static List<VersionedFleet.Received> unknown(String version) {
        List<VersionedFleet.Received> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(new VersionedFleet.Received(
                    "s" + i, "unknown-" + i, List.of(version, version, version), "", false));
        }
        return streams;
    }

    /**
     * Kills all fronts, and starts as many to which all targets are published as they were at first.
     *
     * @param history whether the store's history shows that nothing else was published
     */
    private static List<FrontFixture> restartAllFronts(VersionedFleet fleet, boolean history) throws IOException {
        List<String> running = new ArrayList<>();
        for (int i = 0; i < ONE_VERSION.size(); i++) {
            running.add(fleet.fleet().version(i));
            fleet.fleet().setVersion(i, ONE_VERSION.get(i));
        }
        List<FrontFixture> fronts = fleet.fleet().restartAllFronts(target -> true);
        for (int i = 0; i < running.size(); i++) {
            fleet.fleet().setVersion(i, running.get(i));
        }
        if (history) {
            for (FrontFixture front : fronts) {
                front.run(() -> front.front()
                        .historyConsumer()
                        .accept(ImmutableTargetHistory.builder()
                                .reachMillis(HISTORY_MILLIS)
                                .build()));
            }
        }
        return fronts;
    }

    /** Has the first target chosen after the others; its first process is still published. */
    private static void publishCold(VersionedFleet fleet) {
        for (int i = 0; i < fleet.fleet().size(); i++) {
            FrontFixture front = fleet.fleet().front(i);
            if (!front.killed()) {
                int port = fleet.fleet().links(i).get(0).port();
                front.publish("t0", front.ip(), port, 8, VersionedFleet.FIRST_START_UNIX_MILLIS, COLD_MILLIS, "v1");
            }
        }
    }

    private static boolean certifiesVersion(FrontFixture front) {
        boolean[] certified = new boolean[1];
        front.run(() -> certified[0] = front.front().versions().onlyVersions().containsKey("service"));
        return certified[0];
    }

    private static List<VersionedFleet.Received> resume(
            VersionedFleet fleet, List<FrontFixture> fronts, List<VersionedFleet.Received> begun) throws Exception {
        List<VersionedFleet.Received> resumed = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            FrontFixture front = fronts.get(i % fronts.size());
            // Nothing is inferred from items that are out of date.
            front.run(() -> front.front()
                    .feed()
                    .applyWatchEvents(List.of(), 1, front.front().nowMillis()));
            resumed.add(fleet.call(front, "b" + i, begun.get(i)));
        }
        return resumed;
    }

    private static long beganAtV2(List<VersionedFleet.Received> streams) {
        return streams.stream()
                .filter(stream -> stream.versions().contains("v2"))
                .count();
    }

    /** Counts streams of the unpublished process that have gone on at a target of the published version. */
    private static long mixedOfV2(List<VersionedFleet.Received> streams) {
        return streams.stream()
                .filter(stream -> stream.mixed() && stream.versions().get(0).equals("v2"))
                .count();
    }

    private static long wentOn(List<VersionedFleet.Received> streams) {
        return streams.stream().filter(VersionedFleet.Received::wentOn).count();
    }
}
