package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.items.ItemMirror;
import org.whinwharf.traffic.items.PublishedValue;
import org.whinwharf.traffic.member.MemberHeartbeat;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.ItemsAnswer;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.PublishedItem;

class ItemFeedTest {
    private static final int FLEET_SIZE = 20;
    /** Age of stale items; a working watch answers sooner than this. */
    private static final int STALE_MILLIS = 5_000;
    /** Shortest limit in use for applying a change. */
    private static final long MIN_APPLY_LIMIT_MILLIS = 2_000;

    private final MemberTable members = new MemberTable(report("front-50", 0, false));
    private final FakePeers peers = new FakePeers();
    private long nowMillis;
    private final ItemFeed feed = new ItemFeed(
            FeedFixture.settings("front-50", "10.0.0.50", "a"),
            members,
            new ItemMirror(),
            peers,
            () -> nowMillis,
            new Random(1));

    /**
     * Guards against a front that stops watching and serves an old configuration. A front added to a large fleet knows
     * no member and watches the service until it receives the reports of the others. Without a request to a peer at
     * that moment it would keep its configuration until its last watch is three seconds old.
     */
    @Test
    void frontThatStopsWatchingAsksPeersAtOnce() {
        feed.applyWatchEvents(List.of(), 41);
        feed.tick();
        assertThat(peers.requests, is(empty()));
        receiveFleetReports(41);
        feed.tick();
        assertThat(peers.requests.size(), is(1));
    }

    /**
     * Guards against waiting for a peer that is cut off from the service. It holds the request for a second, because it
     * has no newer items, while other peers already report a newer revision.
     */
    @Test
    void peerThatKnowsNewerItemsIsAskedAtOnce() {
        receiveFleetReports(41);
        feed.applyWatchEvents(List.of(), 41);
        feed.tick();
        peers.requests.clear();
        feed.reportReceived(report("front-07", 44, false));
        assertThat(peers.requests, contains("10.0.0.7 0"));
        feed.reportReceived(report("front-08", 44, false));
        assertThat(peers.requests, contains("10.0.0.7 0"));
        peers.answerLast(44);
        assertThat(feed.revision(), is(44L));
    }

    /** Guards against taking an entry for one that was written lately, after a second copy of an earlier answer. */
    @Test
    void answerThatComesTwiceDoesNotShowWhenTheNextChangesWereWritten() {
        List<Long> writtenSinceMillis = new ArrayList<>();
        feed.listener((value, afterInitialSnapshot, readableForMillis) ->
                writtenSinceMillis.add(feed.changesWrittenSinceMillis()));
        feed.applyWatchEvents(List.of(new PublishedValue("a", new byte[0], 41, 41)), 41, 100);
        feed.applyWatchEvents(List.of(new PublishedValue("a", new byte[0], 41, 41)), 41, 900);
        feed.applyWatchEvents(List.of(new PublishedValue("a", new byte[0], 42, 41)), 42, 901);
        assertThat(writtenSinceMillis, contains(Long.MIN_VALUE, 100L));
    }

    /** Guards against an earlier state of an item that the watch delivers after a read beside it, or a change twice. */
    @Test
    void watchBringsNothingBackThatAReadHasShown() {
        List<String> changes = new ArrayList<>();
        feed.listener((value, afterInitialSnapshot, readableForMillis) ->
                changes.add(value.key() + value.revision() + (value.removed() ? " removed" : "")));
        feed.applyWatchEvents(List.of(new PublishedValue("a", new byte[0], 41, 41)), 41, 100);
        List<PublishedValue> later = List.of(
                new PublishedValue("a", new byte[0], 42, 41),
                new PublishedValue("b", new byte[0], 43, 43),
                new PublishedValue("b", null, 44),
                new PublishedValue("a", new byte[0], 45, 41));
        feed.applyRead(later, 45, 900);
        feed.applyWatchEvents(later.subList(0, 2), 43, 200);
        feed.applyRead(later.subList(0, 3), 44, 800);
        assertThat(changes, contains("a41", "a42", "b43", "b44 removed", "a45"));
        assertThat(feed.revision(), is(45L));
    }

    /** Guards against polling the last peer that answered indefinitely after it is cut off, while others answer. */
    @Test
    void peerThatDoesNotAnswerIsNotPreferred() {
        receiveFleetReports(41);
        feed.applyWatchEvents(List.of(), 41);
        nowMillis = 1;
        for (int i = 0; i < 30; i++) {
            feed.tick();
            peers.lastCallback.accept(Optional.empty());
        }
        assertThat(new HashSet<>(peers.requests).size(), greaterThan(1));
    }

    /** Guards against switching peers while one answers: each switch costs both sides a connection. */
    @Test
    void peerThatAnswersIsAskedAgain() {
        receiveFleetReports(41);
        feed.applyWatchEvents(List.of(), 41);
        for (int i = 0; i < 30; i++) {
            feed.tick();
            peers.answerLast(41);
        }
        assertThat(new HashSet<>(peers.requests).size(), is(1));
    }

    /**
     * Guards against sending requests to an engine for longer than two seconds after it left. A front that was cut off
     * for eight seconds reads the service again; 1.5 seconds later the entry of an engine is removed because it leaves.
     * If the front treated the entry as one that expired in the outage and may return for two seconds from now on, it
     * would exceed that limit.
     */
    @Test
    void removalReportsTimeSinceServiceReturned() {
        List<Long> readableForMillis = new ArrayList<>();
        feed.listener((value, afterInitialSnapshot, readable) -> readableForMillis.add(readable));
        feed.applySnapshot(List.of(new PublishedValue("servers/e", new byte[0], 40)), 40);
        nowMillis = 10_000;
        feed.serviceReadFailed("cut");
        nowMillis = 10_400;
        feed.applyWatchEvents(List.of(), 41);
        nowMillis = 11_900;
        feed.applyWatchEvents(List.of(new PublishedValue("servers/e", null, 42)), 42);
        assertThat(readableForMillis, contains(Long.MAX_VALUE, 1_500L));
    }

    /** Guards against sending to a target that has left, because the watch was cut and made anew a moment before. */
    @Test
    void removalAfterAWatchThatWasCutIsNoExpiry() {
        List<Long> readableForMillis = new ArrayList<>();
        feed.applySnapshot(List.of(new PublishedValue("servers/e", new byte[0], 40)), 40);
        feed.listener((value, afterInitialSnapshot, readable) -> readableForMillis.add(readable));
        nowMillis = 10_000;
        feed.serviceInterrupted("cut");
        nowMillis = 11_300;
        feed.applyWatchEvents(List.of(new PublishedValue("servers/e", null, 42)), 42, 10_400);
        assertThat(readableForMillis, contains(Long.MAX_VALUE));
    }

    /** Guards against sending to a target that left after failed reads that were too short for its entry to expire. */
    @Test
    void removalIsNoExpiryIfReadsFailedForLessThanOneAndAHalfHeartbeats() {
        assertThat(readableForMillisAfterFailedReads(1_700), is(Long.MAX_VALUE));
        assertThat(readableForMillisAfterFailedReads(1_800), is(0L));
    }

    /** Guards against a frozen process that takes its items for fresh because it reads an old answer late. */
    @Test
    void answerThatIsReadLateDoesNotMakeItemsFresh() {
        AtomicLong clockMillis = new AtomicLong(10_000);
        ItemFeed frozenFeed = heartbeatFeed(clockMillis);
        frozenFeed.applySnapshot(List.of(), 40);
        long askedAtMillis = clockMillis.get();
        clockMillis.addAndGet(2_000);
        frozenFeed.applyWatchEvents(List.of(), 40, askedAtMillis);
        assertThat("after a long poll", frozenFeed.ageMillis(), is(0L));
        long askedAgainAtMillis = clockMillis.get();
        clockMillis.addAndGet(10_000);
        frozenFeed.applyWatchEvents(List.of(), 40, askedAgainAtMillis);
        assertThat("after a freeze", frozenFeed.ageMillis(), is(10_000L));
        assertThat("healthy", frozenFeed.watchHealthy(), is(false));
    }

    private static ItemFeed heartbeatFeed(AtomicLong clockMillis) {
        return new ItemFeed(
                ImmutableFrontSettings.builder()
                        .from(FeedFixture.settings("front-50", "10.0.0.50", "a"))
                        .targetHeartbeatMillis(1_200)
                        .build(),
                new MemberTable(report("front-50", 0, false)),
                new ItemMirror(),
                new FakePeers(),
                clockMillis::get,
                new Random(1));
    }

    /** Returns the time for which the service counts as readable at a removal that the first read brings. */
    private static long readableForMillisAfterFailedReads(long failedForMillis) {
        AtomicLong clockMillis = new AtomicLong(10_000);
        ItemFeed heartbeatFeed = heartbeatFeed(clockMillis);
        AtomicLong readableForMillis = new AtomicLong(-1);
        heartbeatFeed.applySnapshot(List.of(new PublishedValue("servers/e", new byte[0], 40)), 40);
        heartbeatFeed.listener((value, afterInitialSnapshot, readable) -> readableForMillis.set(readable));
        for (long waitedMillis = 0; waitedMillis < failedForMillis; waitedMillis += 100) {
            heartbeatFeed.serviceReadFailed("closed");
            clockMillis.addAndGet(100);
        }
        heartbeatFeed.applyWatchEvents(List.of(new PublishedValue("servers/e", null, 42)), 42);
        return readableForMillis.get();
    }

    /**
     * Guards against dropping live targets in an outage: their entries expire while the service is unreadable, so no
     * removal counts as final until it returns.
     */
    @Test
    void removalDuringOutageMayBeExpiry() {
        List<Long> readableForMillis = new ArrayList<>();
        feed.applySnapshot(List.of(new PublishedValue("servers/e", new byte[0], 40)), 40);
        feed.listener((value, afterInitialSnapshot, readable) -> readableForMillis.add(readable));
        nowMillis = 10_000;
        receiveFleetReports(42);
        feed.serviceReadFailed("down");
        feed.tick();
        peers.answerLast(42, "servers/e");
        assertThat(readableForMillis, contains(0L));
    }

    /** Guards against sending to a target that left, when only this front was cut off from the service. */
    @Test
    void removalReportedByConnectedPeerIsNotExpiry() {
        List<Long> readableForMillis = new ArrayList<>();
        feed.applySnapshot(List.of(new PublishedValue("servers/e", new byte[0], 40)), 40);
        feed.listener((value, afterInitialSnapshot, readable) -> readableForMillis.add(readable));
        nowMillis = 10_000;
        receiveFleetReports(42);
        feed.serviceReadFailed("reset");
        feed.tick();
        peers.answerLast(removal(42, "servers/e").setReadableMillis(60_000));
        assertThat(readableForMillis, contains(Long.MAX_VALUE));
    }

    /** Guards against dropping targets whose entries expired in an outage that only a peer saw. */
    @Test
    void removalSoonAfterOutageSeenByPeerMayBeExpiry() {
        List<Long> readableForMillis = new ArrayList<>();
        receiveFleetReports(42);
        feed.tick();
        peers.answerLast(40);
        feed.listener((value, afterInitialSnapshot, readable) -> readableForMillis.add(readable));
        feed.applyWatchEvents(List.of(new PublishedValue("servers/e", new byte[0], 41)), 41);
        nowMillis = 10_000;
        receiveFleetReports(42);
        feed.tick();
        peers.answerLast(removal(42, "servers/e").setReadableMillis(500));
        assertThat(readableForMillis.get(readableForMillis.size() - 1), is(500L));
    }

    /** Guards against losing a peer's view of an outage when a second front relays the items. */
    @Test
    void frontPropagatesReadableTimeOfService() {
        receiveFleetReports(42);
        feed.tick();
        peers.answerLast(ItemsAnswer.newBuilder().setRevision(42).setReadableMillis(500));
        nowMillis = 300;
        assertThat(feed.readableForMillis(), is(800L));
    }

    /** Guards against a front that is cut off from the service and polls no peer until its last watch times out. */
    @Test
    void frontWhoseWatchFailedAsksPeersAtOnce() {
        receiveReportsOfLowerRankedFronts();
        feed.applyWatchEvents(List.of(), 41);
        feed.serviceReadFailed("reset");
        feed.tick();
        assertThat(peers.requests.size(), is(1));
    }

    /** Guards against waiting for a hanging watch while peers report newer items. */
    @Test
    void newerPeerIsAskedWhileLocalWatchHangs() {
        receiveReportsOfLowerRankedFronts();
        feed.applyWatchEvents(List.of(), 41);
        nowMillis = 50;
        feed.reportReceived(report("front-70", 44, true));
        nowMillis = MIN_APPLY_LIMIT_MILLIS / 2;
        feed.tick();
        assertThat(peers.requests, contains("10.0.0.70 0"));
    }

    /**
     * Guards against polling peers for items that the local watch is about to deliver: engines change many times a
     * second.
     */
    @Test
    void briefWatchDelayCausesNoPeerRequest() {
        receiveReportsOfLowerRankedFronts();
        feed.applyWatchEvents(List.of(), 41);
        nowMillis = 50;
        feed.reportReceived(report("front-70", 44, true));
        nowMillis = 300;
        feed.tick();
        feed.applyWatchEvents(List.of(), 44);
        nowMillis = MIN_APPLY_LIMIT_MILLIS;
        feed.tick();
        assertThat(peers.requests, is(empty()));
    }

    /** Guards against preferring a peer that answers but is itself cut off from the service. */
    @Test
    void stalePeerIsNotPreferred() {
        receiveFleetReports(41);
        feed.applyWatchEvents(List.of(), 41);
        for (int i = 0; i < 3; i++) {
            feed.tick();
            peers.answerLast(41, STALE_MILLIS);
        }
        assertThat(new HashSet<>(peers.requests).size(), is(3));
    }

    /** Guards against polling a peer that stopped watching and only polls others, because of an outdated report. */
    @Test
    void peerThatAnswersAsWatchingIsPreferred() {
        receiveFleetReports(41);
        feed.applyWatchEvents(List.of(), 41);
        for (int i = 0; i < 3; i++) {
            feed.tick();
            peers.answerLast(ItemsAnswer.newBuilder().setRevision(41).setWatching(i == 2));
        }
        String watcher = peers.requests.get(2);
        feed.tick();
        assertThat(new HashSet<>(peers.requests).size(), is(3));
        assertThat(peers.requests.get(3), is(watcher));
    }

    /** Guards against treating every answer as current: a peer that is cut off returns old items. */
    @Test
    void itemAgeIncludesAgeAtPeer() {
        receiveFleetReports(41);
        feed.tick();
        nowMillis = 10_000;
        peers.answerLast(41, STALE_MILLIS);
        assertThat(feed.ageMillis(), is((long) STALE_MILLIS));
        feed.tick();
        peers.answerLast(41, 100);
        nowMillis = 10_500;
        assertThat(feed.ageMillis(), is(600L));
    }

    /** Guards against a fleet without a working watch, when all designated watchers are cut off. */
    @Test
    void frontTakesOverWhenItemsAreStale() {
        receiveFleetReports(41);
        feed.tick();
        peers.answerLast(41, 0);
        assertThat(feed.shouldWatch(), is(false));
        nowMillis = 20_000;
        receiveFleetHeartbeats();
        feed.tick();
        assertThat(feed.shouldWatch(), is(true));
        feed.applyWatchEvents(List.of(), 42);
        nowMillis = 22_000;
        receiveFleetHeartbeats();
        assertThat(feed.shouldWatch(), is(true));
    }

    /** Guards against the whole fleet calling the service at the moment its watchers fall silent. */
    @Test
    void takeOversAreStaggered() {
        receiveFleetReports(41);
        feed.tick();
        peers.answerLast(41, 0);
        nowMillis = STALE_MILLIS;
        receiveFleetHeartbeats();
        feed.tick();
        assertThat(feed.shouldWatch(), is(false));
    }

    /** Guards against a data centre without a watch from the end of watchers that stop until they count as silent. */
    @Test
    void watchersThatLeaveAreReplacedWhileTheyStillRun() {
        receiveReportsOfLowerRankedFronts();
        List<String> watchers = List.of("front-01", "front-02", "front-03");
        watchers.forEach(name -> members.receive(report(name, 41, true), nowMillis));
        assertThat(feed.shouldWatch(), is(false));
        watchers.forEach(name ->
                members.receive(new MemberHeartbeat(name.hashCode(), 1, 2, MemberPhase.MEMBER_LEAVING), nowMillis));
        assertThat(feed.shouldWatch(), is(true));
    }

    /** Guards against one item whose handling fails and that keeps the items behind it out of force. */
    @Test
    void itemWhoseHandlingFailsDoesNotKeepOthersBack() {
        List<String> handled = new ArrayList<>();
        feed.listener((value, afterInitialSnapshot, readable) -> {
            if (value.key().equals("servers/bad")) {
                throw new IllegalStateException("bad");
            }
            handled.add(value.key());
        });
        feed.applySnapshot(values(41, "servers/bad", "servers/a"), 41);
        feed.applyWatchEvents(values(42, "servers/bad", "servers/b"), 42);
        feed.serviceReadFailed("reset");
        receiveFleetReports(43);
        feed.tick();
        peers.answerLast(removal(43, "servers/bad")
                .addItems(PublishedItem.newBuilder().setKey("servers/c").setRevision(43)));
        assertThat(handled, contains("servers/a", "servers/b", "servers/c"));
        assertThat(feed.refusedItems(), is(3L));
    }

    /** Guards against items that hide all changes of the service, without a sign of it. */
    @Test
    void itemsAheadOfTheServiceAreReported() {
        feed.watchAnswered(41, 12);
        assertThat(feed.revisionsAhead(), is(29L));
        feed.watchAnswered(41, 41);
        assertThat(feed.revisionsAhead(), is(0L));
    }

    private static List<PublishedValue> values(long revision, String... keys) {
        return Stream.of(keys)
                .map(key -> new PublishedValue(key, new byte[0], revision))
                .toList();
    }

    /** Receives heartbeats of the same fleet, which carry no revisions. */
    private void receiveFleetHeartbeats() {
        for (int i = 1; i <= FLEET_SIZE; i++) {
            String name = String.format("front-%02d", i);
            members.receive(new MemberHeartbeat(name.hashCode(), 1, nowMillis, MemberPhase.MEMBER_SERVING), nowMillis);
        }
    }

    /** Receives reports of fronts that rank below this one by name, so that this one is a watcher. */
    private void receiveReportsOfLowerRankedFronts() {
        for (int i = 60; i < 60 + FLEET_SIZE; i++) {
            members.receive(report("front-" + i, 41, false), nowMillis);
        }
    }

    /** Guards against a target that came and went between two answers of peers, which name its removal only. */
    @Test
    void removalOfAnUnknownItemIsAGap() {
        List<Boolean> began = new ArrayList<>();
        feed.onObservationBegan(began::add);
        feed.applySnapshot(List.of(new PublishedValue("servers/e", new byte[0], 40)), 40);
        receiveFleetReports(41);
        feed.tick();
        peers.answerLast(41, "servers/e");
        assertThat(began, contains(true));
        feed.tick();
        peers.answerLast(43, "servers/f");
        assertThat(began, contains(true, false));
    }

    /** Guards against forgetting what was observed when the service confirms the copy of a peer. */
    @Test
    void copyWithoutNewerItemsIsNoGap() {
        List<Boolean> began = new ArrayList<>();
        feed.onObservationBegan(began::add);
        receiveFleetReports(41);
        feed.tick();
        peers.answerLast(ItemsAnswer.newBuilder().setComplete(true).setRevision(41));
        feed.applySnapshot(List.of(), 41);
        assertThat(began, contains(true));
        feed.applySnapshot(List.of(), 42);
        assertThat(began, contains(true, false));
    }

    private void receiveFleetReports(long revision) {
        for (int i = 1; i <= FLEET_SIZE; i++) {
            members.receive(report(String.format("front-%02d", i), revision, i <= 3), nowMillis);
        }
    }

    private static ItemsAnswer.Builder removal(long revision, String key) {
        PublishedItem removed = PublishedItem.newBuilder()
                .setKey(key)
                .setRevision(revision)
                .setRemoved(true)
                .build();
        return ItemsAnswer.newBuilder().setRevision(revision).addItems(removed);
    }

    private static MemberReport report(String name, long revision, boolean watching) {
        int number = Integer.parseInt(name.substring(name.length() - 2));
        return MemberReport.newBuilder()
                .setName(name)
                .setIp("10.0.0." + number)
                .setDataCentre("a")
                .setPhase(MemberPhase.MEMBER_SERVING)
                .setIncarnation(1)
                .setSequence(1)
                .setRevision(revision)
                .setWatching(watching)
                .build();
    }

    private static final class FakePeers implements PeerItemSource {
        private final List<String> requests = new ArrayList<>();
        private Consumer<Optional<ItemsAnswer>> lastCallback;

        @Override
        public void requestChanges(String ip, int port, long waitMillis, Consumer<Optional<ItemsAnswer>> callback) {
            requests.add(ip + " " + waitMillis);
            lastCallback = callback;
        }

        @Override
        public void itemsChanged() {}

        /** Answers with the removal of an item. */
        void answerLast(long revision, String removedKey) {
            answerLast(removal(revision, removedKey));
        }

        void answerLast(ItemsAnswer.Builder answer) {
            lastCallback.accept(Optional.of(answer.build()));
        }

        void answerLast(long revision) {
            answerLast(revision, 0);
        }

        void answerLast(long revision, int ageMillis) {
            lastCallback.accept(Optional.of(ItemsAnswer.newBuilder()
                    .setRevision(revision)
                    .setAgeMillis(ageMillis)
                    .build()));
        }
    }
}
