package org.whinwharf.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.owner.placement.PlacementStrategy;
import org.whinwharf.wire.message.Enqueue;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Finished;
import org.whinwharf.wire.message.FloorCleared;
import org.whinwharf.wire.message.FloorRaise;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Grant;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Refusal;
import org.whinwharf.wire.message.RefusalReason;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.TargetLoad;

class SchedulerCoreTest {
    private static final ProcessId HOME = new ProcessId("h0", 7);
    private static final ProcessId PEER = new ProcessId("b0", 9);
    private static final int MAX_WAITING = 4;
    private static final long TICK_MILLIS = 50;

    private final SchedulerCore core = new SchedulerCore(new ProcessId("s0", 5), PlacementStrategy.SCORE, 0);
    private final List<SchedulerAction> actions = new ArrayList<>();
    private final Set<Grant> receivedGrants = new LinkedHashSet<>();
    private Document document = Fixtures.document(4, MAX_WAITING);
    private List<String> hosts = List.of("s0");
    private List<String> targets = List.of("t0");
    private long revision;
    private long nowMillis;
    private int running;

    @BeforeEach
    void becomeOwner() {
        changeConfiguration();
        advance(6_000);
    }

    @Test
    void grantCarriesTheHomesClockAndItsValidity() {
        handle(new SchedulerEvent.EntryFrame(
                HOME,
                Frame.newBuilder()
                        .setHeartbeat(Heartbeat.newBuilder().setSentAtMillis(123_456))
                        .build()));
        enqueue(1, 0);
        assertThat(grants(), hasSize(1));
        assertThat(grants().get(0).getEchoMillis(), is(123_456L));
        assertThat(grants().get(0).getGoodMillis(), is(Fixtures.TIMINGS.grantMillis()));
        enqueue(2, 0);
        assertThat(grants(), hasSize(1));
    }

    // A target restarts between two readings and its streams fail. Without this rule the freed slots would be filled
    // up to the limit learned before the restart.
    @Test
    void failureStopsGrantsUntilALaterReadingAndARestartedTargetIsCold() {
        enqueue(1, 0);
        finish(grants().get(0), FinishKind.FAILED);
        enqueue(2, 0);
        assertThat(grants(), hasSize(1));
        nowMillis++;
        reportLoad(2);
        assertThat(grants(), hasSize(2));
    }

    // The host of a home fails with a request in flight at an engine with a limit of one. The engine continues to run
    // the request, so a second request would overload it.
    @Test
    void slotOfADisconnectedHomeIsTakenUntilAReadingShowsItFree() {
        enqueue(1, 0);
        running = 1;
        handle(new SchedulerEvent.EntryDisconnected(HOME));
        advance(3_000);
        enqueue(2, 0);
        assertThat(grants(), hasSize(1));
        running = 0;
        advance(500);
        assertThat(grants(), hasSize(2));
    }

    @Test
    void dataCentreOutOfServiceRecallsGrantsRefusesRequestsAndReturnsCold() {
        growTo(4);
        enqueue(100, 0);
        enqueue(101, 1);
        document = Fixtures.outOfService(document);
        changeConfiguration();
        assertThat(sent(Frame::hasRecall), hasSize(2));
        enqueue(102, 2);
        assertThat(refusals(102), contains(RefusalReason.NO_TARGET));
        document = Fixtures.document(4, MAX_WAITING);
        changeConfiguration();
        advance(6_000);
        actions.clear();
        finishUnused(100);
        finishUnused(101);
        advance(TICK_MILLIS);
        enqueue(103, 0);
        enqueue(104, 0);
        assertThat(grants(), hasSize(1));
    }

    // A request that cannot meet its deadline would be prefilled in vain and delay requests that can be served.
    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedWithARetryAfterDelay() {
        growTo(2);
        actions.clear();
        enqueue(Enqueue.newBuilder().setRequest(50).setAnswerTokens(10_000).setLeftMillis(1_000));
        assertThat(refusals(50), contains(RefusalReason.HOPELESS));
        assertThat(refusal(50).getComeBackMillis(), greaterThan(0L));
    }

    // The predicted wait may be wrong. A request of a higher tier was refused as hopeless while a long request of a
    // lower tier, which waited all the time, got the next slot.
    @Test
    void predictedWaitDoesNotRefuseARequestWhileALowerTierWaits() {
        enqueue(1, 0);
        finish(grants().get(0), FinishKind.COMPLETED);
        for (long request = 60; request < 62; request++) {
            enqueue(Enqueue.newBuilder().setRequest(request).setAnswerTokens(50).setLeftMillis(60_000));
        }
        enqueue(Enqueue.newBuilder()
                .setRequest(70)
                .setTierRank(2)
                .setAnswerTokens(500)
                .setLeftMillis(60_000));
        enqueue(Enqueue.newBuilder()
                .setRequest(71)
                .setTierRank(1)
                .setAnswerTokens(1)
                .setLeftMillis(5_000));
        assertThat(refusals(71), contains(RefusalReason.HOPELESS));
        enqueue(Enqueue.newBuilder()
                .setRequest(72)
                .setTierRank(0)
                .setAnswerTokens(5)
                .setLeftMillis(60_000));
        enqueue(Enqueue.newBuilder()
                .setRequest(73)
                .setTierRank(1)
                .setAnswerTokens(1)
                .setLeftMillis(5_000));
        assertThat(refusals(72), hasSize(0));
        assertThat(refusals(73), hasSize(0));
    }

    // Requests that have just arrived are briefly reported as queued. The owner applied each such reading, so it kept
    // the limits at half the capacity of the engines while requests of lower tiers were refused.
    @Test
    void onlySuccessiveReadingsOfAQueueLowerTheLimit() {
        growTo(4);
        int before = core.states(nowMillis).get(0).getTargets(0).getLimit();
        reportQueue(1, 1);
        assertThat(core.states(nowMillis).get(0).getTargets(0).getLimit(), is(before));
        for (int i = 0; i < 4; i++) {
            nowMillis += 250;
            reportQueue(2, 1);
        }
        assertThat(core.states(nowMillis).get(0).getTargets(0).getLimit(), is(2));
    }

    // After one very slow answer every request seems unable to meet its deadline. If the old speed counted for ever,
    // no request would be sent, and the target could never show that it has recovered.
    @Test
    void targetThatWasSlowOnceReceivesRequestsAgain() {
        enqueue(1, 0);
        finish(grants().get(0), FinishKind.COMPLETED, 20_000);
        enqueue(2, 0);
        assertThat(refusals(2), contains(RefusalReason.HOPELESS));
        advance(11_000);
        enqueue(3, 0);
        assertThat(grants().get(grants().size() - 1).getRequest(), is(3L));
    }

    // Operators lower the maximum of a service whose engines are overloaded; the change must also apply to targets in
    // use.
    @Test
    void lowerMaximumOfANewDocumentAppliesToKnownTargets() {
        growTo(4);
        document = Fixtures.document(2, MAX_WAITING);
        changeConfiguration();
        for (long request = 1; request <= 4; request++) {
            enqueue(request, 0);
        }
        assertThat(grants(), hasSize(2));
    }

    @Test
    void fullQueueShedsTheLowestTierAndKeepsTheHigher() {
        enqueue(1, 0);
        for (long request = 2; request <= 5; request++) {
            enqueue(request, 0);
        }
        enqueue(6, 2);
        assertThat(allRefusals(), hasSize(1));
        assertThat(allRefusals().get(0).getReason(), is(RefusalReason.SHED));
        assertThat(allRefusals().get(0).getRequest(), is(not(6L)));
    }

    // One owner of a service has a queue full of the highest tier while the other owner keeps a request of a low
    // tier. Shedding immediately would refuse a request of a high tier while one of a low tier waits elsewhere.
    @Test
    void higherTierIsShedOnlyAfterOtherOwnersHaveClearedLowerTiers() {
        hosts = List.of("s0", "b0");
        targets = List.of("t0", "b-t1");
        changeConfiguration();
        handle(new SchedulerEvent.PeerConnected(PEER));
        advance(8_000);
        actions.clear();
        for (long request = 1; request <= MAX_WAITING + 2; request++) {
            enqueue(request, 2);
        }
        FloorRaise raise = actions.stream()
                .filter(action -> action instanceof SchedulerAction.SendToPeer send
                        && send.host().equals("b0")
                        && send.frame().hasFloorRaise())
                .map(action -> ((SchedulerAction.SendToPeer) action).frame().getFloorRaise())
                .findFirst()
                .orElseThrow();
        assertThat(raise.getRank(), is(2));
        assertThat(allRefusals(), is(empty()));
        fromPeer(Frame.newBuilder()
                .setFloorCleared(FloorCleared.newBuilder()
                        .setService(Fixtures.SERVICE)
                        .setRank(2)
                        .setFloor(raise.getFloor())));
        assertThat(allRefusals().size(), greaterThan(0));
        advance(3_000);
        assertThat(
                actions.stream()
                        .anyMatch(action -> action instanceof SchedulerAction.SendToPeer send
                                && send.frame().hasFloorLower()),
                is(false));
    }

    @Test
    void floorOfAnotherOwnerEvictsAndRefusesLowerTiersUntilItExpires() {
        enqueue(1, 0);
        enqueue(2, 1);
        enqueue(3, 2);
        enqueue(4, 0);
        fromPeer(Frame.newBuilder()
                .setFloorRaise(FloorRaise.newBuilder()
                        .setService(Fixtures.SERVICE)
                        .setRank(2)
                        .setGoodMillis(1_000)
                        .setFloor(1)));
        assertThat(
                allRefusals().stream().map(Refusal::getReason).distinct().toList(),
                contains(RefusalReason.BELOW_FLOOR));
        assertThat(allRefusals(), hasSize(2));
        assertThat(
                actions.stream()
                        .anyMatch(action -> action instanceof SchedulerAction.SendToPeer send
                                && send.frame().hasFloorCleared()),
                is(true));
        enqueue(5, 1);
        assertThat(refusals(5), contains(RefusalReason.BELOW_FLOOR));
        advance(1_100);
        enqueue(6, 1);
        assertThat(refusals(6), is(empty()));
    }

    // The host is replaced. Waiting requests must move to the next owner immediately, and no grant may be used after
    // that owner has started to grant.
    @Test
    void plannedStopRefusesWaitingRequestsAndReleasesPledgesOnceNoGrantIsUnused() {
        enqueue(1, 0);
        enqueue(2, 0);
        handle(new SchedulerEvent.Leave());
        assertThat(refusals(2), hasItem(RefusalReason.OWNER_LEAVING));
        assertThat(sent(Frame::hasRecall), hasSize(1));
        assertThat(core.isHandoverComplete(nowMillis), is(false));
        finishUnused(1);
        assertThat(core.isHandoverComplete(nowMillis), is(true));
    }

    // The process is paused for longer than its pledges last, and another owner has taken over when it resumes.
    @Test
    void ownerGrantsNothingAfterAPauseUntilListsMustAgreeAgain() {
        nowMillis += 10_000;
        enqueue(1, 0);
        assertThat(grants(), is(empty()));
        advance(1_500);
        assertThat(grants(), is(empty()));
        advance(1_500);
        assertThat(grants(), hasSize(1));
    }

    // The first candidate fails while the list still contains it, and the next candidate takes over. While it gathers
    // pledges, homes use other slices; the lack of requests must not make it give up just before it can grant.
    @Test
    void laterCandidateKeepsTheSliceUntilTheFirstIsReachable() {
        hosts = List.of("s0", "a1", "a3", "a4");
        changeConfiguration();
        String first = Fixtures.membership(1, document, hosts, targets)
                .candidates(Fixtures.SLICE)
                .get(0)
                .getName();
        assertThat(first, is(not("s0")));
        advance(6_000);
        actions.clear();
        enqueue(1, 0);
        advance(7_000);
        advance(7_000);
        assertThat(requestsPledges(), is(true));
        handle(new SchedulerEvent.PeerConnected(new ProcessId(first, 1)));
        enqueue(2, 0);
        assertThat(refusals(2), contains(RefusalReason.NOT_OWNER));
    }

    private boolean requestsPledges() {
        actions.clear();
        advance(1_000);
        return actions.stream()
                .anyMatch(action -> action instanceof SchedulerAction.SendToPeer send
                        && send.frame().hasPledgeRequest());
    }

    private void growTo(int limit) {
        for (long request = 1_000; request < 1_000 + limit * MAX_WAITING; request += MAX_WAITING) {
            for (int i = 0; i < MAX_WAITING; i++) {
                enqueue(request + i, 0);
            }
            for (int i = 0; i < grants().size(); i++) {
                finish(grants().get(i), FinishKind.COMPLETED);
            }
            actions.clear();
        }
    }

    private void changeConfiguration() {
        handle(new SchedulerEvent.ConfigurationChanged(
                Fixtures.membership(++revision, document, hosts, targets), SchedulerConfiguration.of(document)));
    }

    private void handle(SchedulerEvent event) {
        actions.addAll(core.handle(event, nowMillis));
        receivedGrants.addAll(grants());
    }

    private void advance(long millis) {
        for (long untilMillis = nowMillis + millis; nowMillis < untilMillis; ) {
            nowMillis += TICK_MILLIS;
            reportLoad(1);
            handle(new SchedulerEvent.Tick());
        }
    }

    private void reportLoad(long startNumber) {
        TargetLoad load = TargetLoad.newBuilder()
                .setStartNumber(startNumber)
                .setRunning(running)
                .build();
        targets.forEach(target -> handle(new SchedulerEvent.LoadReceived(target, load, nowMillis)));
    }

    private void reportQueue(int running, int queued) {
        TargetLoad load = TargetLoad.newBuilder()
                .setStartNumber(1)
                .setRunning(running)
                .setQueued(queued)
                .build();
        targets.forEach(target -> handle(new SchedulerEvent.LoadReceived(target, load, nowMillis)));
    }

    private void enqueue(long request, int rank) {
        enqueue(Enqueue.newBuilder()
                .setRequest(request)
                .setTierRank(rank)
                .setAnswerTokens(20)
                .setLeftMillis(5_000));
    }

    private void enqueue(Enqueue.Builder enqueue) {
        enqueue.setSlice(Fixtures.SLICE).setOrganisation("o").setWeight(1);
        handle(new SchedulerEvent.EntryFrame(
                HOME, Frame.newBuilder().setEnqueue(enqueue).build()));
    }

    private void finishUnused(long request) {
        receivedGrants.stream()
                .filter(grant -> grant.getRequest() == request)
                .forEach(grant -> finish(grant, FinishKind.UNUSED));
    }

    private void finish(Grant grant, FinishKind kind) {
        finish(grant, kind, 1_000);
    }

    private void finish(Grant grant, FinishKind kind, long totalMillis) {
        handle(finishedEvent(Finished.newBuilder()
                .setRequest(grant.getRequest())
                .setGrant(grant.getGrant())
                .setTarget(grant.getTarget())
                .setKind(kind)
                .setFirstTokenMillis(50)
                .setTotalMillis(totalMillis)
                .setAnswerTokens(20)));
    }

    private static SchedulerEvent finishedEvent(Finished.Builder finished) {
        return new SchedulerEvent.EntryFrame(
                HOME,
                Frame.newBuilder()
                        .setFinished(finished.setSlice(Fixtures.SLICE))
                        .build());
    }

    private void fromPeer(Frame.Builder frame) {
        handle(new SchedulerEvent.PeerFrame(PEER, frame.build()));
    }

    private List<Grant> grants() {
        return sent(Frame::hasGrant).stream().map(Frame::getGrant).toList();
    }

    private List<Refusal> allRefusals() {
        return sent(Frame::hasRefusal).stream().map(Frame::getRefusal).toList();
    }

    private Refusal refusal(long request) {
        return allRefusals().stream()
                .filter(refusal -> refusal.getRequest() == request)
                .findFirst()
                .orElseThrow();
    }

    private List<RefusalReason> refusals(long request) {
        return allRefusals().stream()
                .filter(refusal -> refusal.getRequest() == request)
                .map(Refusal::getReason)
                .toList();
    }

    private List<Frame> sent(Predicate<Frame> kind) {
        return actions.stream()
                .filter(SchedulerAction.SendToEntry.class::isInstance)
                .map(action -> ((SchedulerAction.SendToEntry) action).frame())
                .filter(kind)
                .toList();
    }
}
