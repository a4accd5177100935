package org.whinwharf.home;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinwharf.errors.Ran;
import org.whinwharf.ticket.Ticket;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.InFlight;
import org.whinwharf.wire.message.Recall;
import org.whinwharf.wire.message.RefusalReason;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.message.SliceStatus;
import org.whinwharf.wire.message.TierWait;

class HomeTest {
    private final HomeDriver driver = HomeDriver.withOwners();
    private final Submission request = HomeDriver.engineRequest().call();

    @Test
    void requestGoesFromQueueToTargetToCaller() {
        driver.sent(request);
        driver.token(1, 0, false);
        driver.token(1, 1, true);
        assertThat(driver.textOf(1), is("t0t1"));
        assertThat(driver.find(HomeAction.AnswerEnd.class), hasSize(1));
        assertThat(last(driver.finished()).getKind(), is(FinishKind.COMPLETED));
        assertThat(driver.home.liveCount(), is(0));
    }

    // The process is paused while the request waits and resumes after the deadline. The grant in the socket buffer is
    // still valid for the owner. Running the request now would be wasted work, because its caller no longer waits.
    @Test
    void grantReadAfterTheDeadlineIsReturnedAndTheRequestIsNotRun() {
        driver.submit(1, request);
        driver.nowMillis += HomeDriver.DEADLINE_MILLIS;
        driver.grant(1, driver.queuedAt(1), driver.nowMillis);
        assertThat(driver.find(HomeAction.Dispatch.class), is(empty()));
        assertThat(last(driver.finished()).getKind(), is(FinishKind.UNUSED));
        assertThat(driver.errorOf(1), is("deadline-waiting"));
    }

    // The process is paused and reads a grant after it expired. The owner has given the slot to another request by
    // then, so a target with capacity for one request would receive two.
    @Test
    void grantReadTooLateIsReturnedAndTheRequestQueuesAnew() {
        driver.submit(1, request);
        long echoMillis = driver.nowMillis;
        driver.nowMillis += HomeDriver.GRANT_MILLIS;
        driver.grant(1, driver.queuedAt(1), echoMillis);
        assertThat(driver.find(HomeAction.Dispatch.class), is(empty()));
        assertThat(last(driver.finished()).getKind(), is(FinishKind.UNUSED));
        assertThat(enqueues(), is(2L));
    }

    // The process is paused between the decision to dispatch and the sending. The sender checks the clock at the gate;
    // without that check the request would be sent on an expired grant.
    @Test
    void pauseBeforeSendingPreventsTheDispatch() {
        driver.submit(1, request);
        driver.grant(1, driver.queuedAt(1), driver.nowMillis);
        driver.nowMillis += HomeDriver.GRANT_MILLIS;
        driver.runSender(1);
        assertThat(driver.sentRequests, is(empty()));
        assertThat(enqueues(), is(2L));
        driver.grant(1, driver.queuedAt(1), driver.nowMillis);
        driver.runSender(1);
        assertThat(driver.sentRequests, is(Set.of(1L)));
    }

    // The deadline passes between the decision to dispatch and the sending. The first to use the gate decides: here
    // the sender has passed it, so the caller must not be told "not run".
    @Test
    void deadlineAfterTheGateIsAnsweredAsRan() {
        driver.submit(1, request);
        driver.grant(1, driver.queuedAt(1), driver.nowMillis);
        driver.pendingDispatches.get(1L).gate().trySend(driver.nowMillis);
        driver.at(driver.nowMillis + HomeDriver.DEADLINE_MILLIS, new HomeEvent.Ticked());
        assertThat(driver.errorOf(1), is("deadline-running"));
        assertThat(driver.find(HomeAction.CancelAtTarget.class), hasSize(1));
    }

    // The deadline passes while the target executes the request. The request is cancelled there and the slot released;
    // otherwise the engine would continue for a caller that no longer waits.
    @Test
    void deadlineWhileRunningCancelsAtTheTarget() {
        driver.sent(request);
        driver.token(1, 0, false);
        driver.at(driver.nowMillis + HomeDriver.DEADLINE_MILLIS, new HomeEvent.Ticked());
        assertThat(driver.errorOf(1), is("deadline-running"));
        assertThat(driver.find(HomeAction.CancelAtTarget.class), hasSize(1));
        assertThat(last(driver.finished()).getKind(), is(FinishKind.CANCELLED));
    }

    // The connection to the target breaks in the middle of an answer. The stream is resumed where it broke, because a
    // second dispatch would run the request twice. Late tokens of the old connection are delivered only once.
    @Test
    void brokenStreamIsResumedFromTheLastTokenAndNeverSentAgain() {
        driver.sent(request);
        driver.token(1, 0, false);
        driver.on(new HomeEvent.StreamBroken(1, "cut"));
        driver.token(1, 2, false);
        driver.token(1, 1, false);
        driver.token(1, 1, false);
        driver.token(1, 0, false);
        driver.token(1, 3, true);
        assertThat(driver.textOf(1), is("t0t1t2t3"));
        assertThat(driver.find(HomeAction.Dispatch.class), hasSize(1));
        assertThat(driver.find(HomeAction.ResumeStream.class).get(0).fromIndex(), is(1));
    }

    @Test
    void streamThatCannotBeResumedEndsAsLostAfterBoundedAttempts() {
        driver.sent(request);
        for (int i = 0; i < 20; i++) {
            driver.on(new HomeEvent.StreamBroken(1, "cut"));
        }
        assertThat(driver.find(HomeAction.ResumeStream.class), hasSize(6));
        assertThat(driver.errorOf(1), is("target-lost"));
    }

    // Guards against answers that are cut because their target was silent during more attempts than a broken stream
    // has.
    @Test
    void streamOfASilentTargetIsResumedUntilItsDeadline() {
        driver.sent(request);
        driver.token(1, 0, false);
        for (int i = 0; i < 20; i++) {
            driver.on(new HomeEvent.StreamSilent(1, "silent"));
        }
        assertThat(driver.find(HomeAction.ResumeStream.class), hasSize(20));
        assertThat(driver.find(HomeAction.CancelAtTarget.class), hasSize(0));
        driver.token(1, 1, false);
        driver.on(new HomeEvent.StreamSilent(1, "silent"));
        driver.at(driver.nowMillis + HomeDriver.DEADLINE_MILLIS, new HomeEvent.Ticked());
        assertThat(driver.textOf(1), is("t0t1"));
        assertThat(driver.errorOf(1), is("deadline-running"));
        assertThat(driver.find(HomeAction.Dispatch.class), hasSize(1));
    }

    // A target was restarted and does not know the stream, so the outcome of the request is unknown.
    @Test
    void streamUnknownAtTheTargetIsLost() {
        driver.sent(request);
        driver.on(new HomeEvent.StreamBroken(1, "cut"));
        driver.on(new HomeEvent.StreamUnknown(1));
        assertThat(driver.errorOf(1), is("target-lost"));
        assertThat(last(driver.finished()).getKind(), is(FinishKind.LOST));
    }

    @Test
    void refusalByTheTargetIsFinalAndNotRun() {
        driver.sent(request);
        driver.targetRefuses(1);
        assertThat(driver.errorOf(1), is("target-refused"));
        assertThat(last(driver.finished()).getKind(), is(FinishKind.REFUSED_BY_TARGET));
        assertThat(driver.find(HomeAction.Dispatch.class), hasSize(1));
    }

    // A failed target refuses the connection. No byte was sent, so another target may receive the request.
    @Test
    void refusedConnectionAllowsAnotherDispatch() {
        driver.sent(request);
        driver.connectFails(1);
        driver.grant(1, driver.queuedAt(1), driver.nowMillis);
        driver.runSender(1);
        driver.token(1, 0, true);
        assertThat(driver.textOf(1), is("t0"));
    }

    // Many targets fail at once. Requests that are queued again immediately and repeatedly would cause a storm of
    // messages. Beyond the retry budget each request is delayed first; none is rejected, because other owners may
    // still serve lower tiers.
    @Test
    void refusedConnectionsBeyondTheBudgetWaitBeforeTheyQueueAnew() {
        driver.sent(request);
        driver.connectFails(1);
        assertThat(enqueues(), is(2L));
        driver.grant(1, driver.queuedAt(1), driver.nowMillis);
        driver.runSender(1);
        driver.connectFails(1);
        driver.at(driver.nowMillis + 999, new HomeEvent.Ticked());
        assertThat(enqueues(), is(2L));
        driver.at(driver.nowMillis + 1, new HomeEvent.Ticked());
        assertThat(enqueues(), is(3L));
        assertThat(driver.errorOf(1), is(""));
    }

    @Test
    void recallIsHonouredUntilTheSending() {
        driver.submit(1, request);
        driver.grant(1, driver.queuedAt(1), driver.nowMillis);
        Recall recall = Recall.newBuilder().setRequest(1).setGrant(1).build();
        driver.on(new HomeEvent.Recalled(HomeDriver.OWNER_A, recall));
        driver.runSender(1);
        assertThat(driver.sentRequests, is(empty()));
        assertThat(enqueues(), is(2L));
    }

    // A target starts to leave, or its data centre is taken out of service, between the grant and the sending. It must
    // not receive new requests, so the grant is returned.
    @Test
    void targetThatLeavesAfterTheGrantReceivesNoRequest() {
        driver.submit(1, request);
        driver.grant(1, HomeDriver.OWNER_A, driver.nowMillis);
        driver.on(new HomeEvent.ViewChanged(new HomeDriver.View(Set.of("zone-a", "zone-b"), Set.of("engine-2"))));
        driver.runSender(1);
        assertThat(driver.sentRequests, is(empty()));
        assertThat(last(driver.finished()).getKind(), is(FinishKind.UNUSED));
    }

    // Operators take the home's own data centre out of service. Queued requests move to targets elsewhere; new
    // requests are rejected at once, so that their callers use another host.
    @Test
    void dataCentreOutOfServiceMovesQueuedRequestsAndRejectsNewOnes() {
        driver.submit(1, request);
        assertThat(driver.queuedAt(1), is(HomeDriver.OWNER_A));
        driver.on(new HomeEvent.ViewChanged(new HomeDriver.View(Set.of("zone-b"), Set.of("engine-2"))));
        assertThat(driver.queuedAt(1), is(HomeDriver.OWNER_B));
        driver.submit(2, request);
        assertThat(driver.errorOf(2), is("host-leaving"));
        driver.grant(1, HomeDriver.OWNER_B, driver.nowMillis);
        driver.runSender(1);
        driver.token(1, 0, true);
        assertThat(driver.textOf(1), is("t0"));
    }

    // The owner of a slice fails while requests wait there. They are queued at another owner. An owner that returns
    // receives the list of requests in flight at its targets; otherwise it would grant slots that are occupied.
    @Test
    void requestsOfADeadOwnerQueueElsewhereAndTheReturningOwnerReceivesTheInFlightList() {
        driver.sent(request);
        driver.submit(2, request);
        driver.on(new HomeEvent.OwnerDisconnected(HomeDriver.OWNER_A));
        assertThat(driver.queuedAt(2), is(HomeDriver.OWNER_B));
        driver.on(new HomeEvent.OwnerConnected(HomeDriver.OWNER_A));
        driver.submit(3, request);
        assertThat(driver.queuedAt(3), is(HomeDriver.OWNER_A));
        List<HomeAction.SendToOwner> sent = driver.find(HomeAction.SendToOwner.class);
        List<InFlight> inFlight = sent.get(sent.size() - 1).frame().getEnqueue().getInFlightList();
        assertThat(
                inFlight,
                is(List.of(InFlight.newBuilder()
                        .setRequest(1)
                        .setTarget("engine-1")
                        .build())));
    }

    // A scheduler stops as planned while requests run. The next owner has received them as in flight, but the view
    // still names the old owner first when they end. Without the message about their end the next owner would count
    // their slots as occupied for ever, and requests would wait until their deadlines while targets are idle.
    @Test
    void ownerThatCountsARequestInFlightReceivesItsEndWhateverTheViewNames() {
        driver.sent(request);
        driver.submit(2, request);
        driver.refuse(2, HomeDriver.OWNER_A, RefusalReason.OWNER_LEAVING);
        assertThat(driver.queuedAt(2), is(HomeDriver.OWNER_B));
        driver.token(1, 0, true);
        List<String> sent = driver.find(HomeAction.SendToOwner.class).stream()
                .filter(action -> action.frame().hasFinished())
                .map(HomeAction.SendToOwner::owner)
                .toList();
        assertThat(sent, is(List.of(HomeDriver.OWNER_A, HomeDriver.OWNER_B)));
    }

    @Test
    void ownerWithoutPledgesIsAskedAgainShortly() {
        driver.on(new HomeEvent.OwnerDisconnected(HomeDriver.OWNER_B));
        driver.submit(1, request);
        driver.refuse(1, HomeDriver.OWNER_A, RefusalReason.NOT_OWNER);
        assertThat(enqueues(), is(1L));
        driver.at(driver.nowMillis + 50, new HomeEvent.Ticked());
        assertThat(enqueues(), is(2L));
    }

    // All engines of a data centre fail. Their owner queues requests but grants none for longer than callers wait,
    // while engines elsewhere have free slots.
    @Test
    void requestThatWaitsLongMovesToASliceWithRoomAndFreshOnesFollow() {
        driver.submit(1, request);
        assertThat(driver.queuedAt(1), is(HomeDriver.OWNER_A));
        driver.nowMillis += 500;
        driver.on(new HomeEvent.StatusReceived(SliceStatus.newBuilder()
                .setSlice(HomeDriver.SLICE_B)
                .setFreeSlots(2)
                .setUsableTargets(1)
                .build()));
        driver.on(new HomeEvent.Ticked());
        assertThat(driver.queuedAt(1), is(HomeDriver.OWNER_B));
        driver.submit(2, request);
        assertThat(driver.queuedAt(2), is(HomeDriver.OWNER_B));
        driver.grant(1, HomeDriver.OWNER_A, driver.nowMillis);
        assertThat(last(driver.finished()).getKind(), is(FinishKind.UNUSED));
    }

    // All slices are full. One serves requests of a low tier while a request of a high tier waits at another until its
    // deadline passes, because no owner knows the queues of the others.
    @Test
    void requestThatWaitsLongMovesToASliceThatServesItsTierSooner() {
        driver.submit(1, request);
        assertThat(driver.queuedAt(1), is(HomeDriver.OWNER_A));
        driver.nowMillis += 500;
        driver.on(new HomeEvent.Ticked());
        driver.nowMillis += 500;
        receiveWait(HomeDriver.SLICE_B, 2_000);
        driver.on(new HomeEvent.Ticked());
        assertThat(driver.queuedAt(1), is(HomeDriver.OWNER_A));
        driver.nowMillis += 500;
        receiveWait(HomeDriver.SLICE_B, 100);
        driver.on(new HomeEvent.Ticked());
        assertThat(driver.queuedAt(1), is(HomeDriver.OWNER_B));
    }

    private void receiveWait(SliceId slice, long waitMillis) {
        driver.on(new HomeEvent.StatusReceived(SliceStatus.newBuilder()
                .setSlice(slice)
                .setWaiting(50)
                .setUsableTargets(1)
                .addWaits(TierWait.newBuilder().setTierRank(request.tierRank()).setWaitMillis(waitMillis))
                .build()));
    }

    @Test
    void shedRequestTriesOneOtherSliceWithRoom() {
        driver.on(new HomeEvent.StatusReceived(SliceStatus.newBuilder()
                .setSlice(HomeDriver.SLICE_B)
                .setFreeSlots(1)
                .setUsableTargets(1)
                .build()));
        driver.submit(1, request);
        String first = driver.queuedAt(1);
        driver.refuse(1, first, RefusalReason.SHED);
        boolean moved = !driver.queuedAt(1).equals(first);
        assertThat(moved, is(first.equals(HomeDriver.OWNER_A)));
        driver.refuse(1, driver.queuedAt(1), RefusalReason.SHED);
        assertThat(driver.errorOf(1), is("shed"));
    }

    @Test
    void shedRequestWithoutSlotsElsewhereIsRejectedAtOnceWithARetryDelay() {
        driver.submit(1, request);
        driver.refuse(1, driver.queuedAt(1), RefusalReason.SHED);
        HomeAction.AnswerError error = last(driver.find(HomeAction.AnswerError.class));
        assertThat(error.outcome().retryAfterMillis(), is(1_000L));
        assertThat(error.outcome().ran(), is(Ran.NOT_RUN));
    }

    // A caller loses its connection and submits the booking again while the first attempt runs. The repeat must join
    // the first attempt; after that has ended, a repeat receives the stored answer.
    @Test
    void repeatJoinsTheFirstAttemptOrGetsItsRecordedOutcome() {
        driver.sent(HomeDriver.booking(0).call());
        driver.submit(2, HomeDriver.booking(0).call());
        driver.on(new HomeEvent.CallAnswered(1, 200, "text/plain", ByteString.copyFromUtf8("booked")));
        driver.submit(3, HomeDriver.booking(0).call());
        assertThat(driver.find(HomeAction.AnswerBody.class), hasSize(2));
        assertThat(driver.find(HomeAction.ReplayAnswer.class), hasSize(1));
        assertThat(driver.find(HomeAction.Dispatch.class), hasSize(1));
    }

    // A host that is out of service tells a caller "not run". A copy of that booking, delayed on another path, arrives
    // when the host accepts requests again. It must not run now, because its caller was told that it did not.
    @Test
    void rejectedNumberStaysRejected() {
        driver.on(new HomeEvent.ViewChanged(new HomeDriver.View(Set.of("zone-b"), Set.of("engine-2"))));
        driver.submit(1, HomeDriver.booking(0).call());
        driver.on(new HomeEvent.ViewChanged(driver.view));
        driver.submit(2, HomeDriver.booking(0).call());
        assertThat(driver.errorOf(2), is("host-leaving"));
        assertThat(driver.find(HomeAction.Dispatch.class), is(empty()));
        driver.submit(3, HomeDriver.booking(1).call());
        assertThat(driver.errorOf(3), is(""));
    }

    @Test
    void eachTicketErrorHasItsOwnKind() {
        driver.submit(1, HomeDriver.booking(0).call());
        driver.submit(2, HomeDriver.booking(0).contentDigest(2).call());
        assertThat(driver.errorOf(2), is("number-reused"));
        driver.submit(3, HomeDriver.engineRequest().isIdempotent(false).call());
        assertThat(driver.errorOf(3), is("ticket-required"));
        driver.submit(4, under(new Ticket("home", 6, 1, 2, "orava", 600_000)));
        assertThat(driver.errorOf(4), is("home-restarted"));
        driver.submit(5, under(new Ticket("home", 7, 1, 2, "other", 600_000)));
        assertThat(driver.errorOf(5), is("bad-ticket"));
        driver.nowMillis = 600_000;
        driver.submit(6, HomeDriver.booking(0).call());
        assertThat(driver.errorOf(6), is("ticket-expired"));
    }

    @Test
    void disconnectedCallerCancelsItsRequestAndReleasesTheSlot() {
        driver.sent(request);
        driver.on(new HomeEvent.CallerDisconnected(1));
        assertThat(driver.find(HomeAction.CancelAtTarget.class), hasSize(1));
        assertThat(last(driver.finished()).getKind(), is(FinishKind.CANCELLED));
    }

    // A caller with a ticket loses its connection and rejoins within the grace time. The request continues and the
    // answer is complete. When the caller does not rejoin, the request is cancelled.
    @Test
    void callerWithTicketMayRejoinWithinTheGrace() {
        Submission numbered = HomeDriver.engineRequest()
                .ticketNumber(new TicketNumber(HomeDriver.TICKET, 0))
                .call();
        driver.sent(numbered);
        driver.token(1, 0, false);
        driver.on(new HomeEvent.CallerDisconnected(1));
        driver.submit(2, numbered);
        driver.at(driver.nowMillis + 5_000, new HomeEvent.Ticked());
        assertThat(driver.find(HomeAction.CancelAtTarget.class), is(empty()));
        driver.on(new HomeEvent.CallerDisconnected(2));
        driver.at(driver.nowMillis + 2_000, new HomeEvent.Ticked());
        assertThat(driver.find(HomeAction.CancelAtTarget.class), hasSize(1));
        assertThat(driver.textOf(2), is("t0"));
    }

    // The caller of a booking disconnects and does not return. The booking was sent and cannot be revoked; it runs to
    // completion, so that the caller can query the outcome later.
    @Test
    void nonIdempotentCallCompletesWithoutItsCaller() {
        driver.sent(HomeDriver.booking(0).call());
        driver.on(new HomeEvent.CallerDisconnected(1));
        driver.at(driver.nowMillis + 5_000, new HomeEvent.Ticked());
        assertThat(driver.find(HomeAction.CancelAtTarget.class), is(empty()));
        driver.on(new HomeEvent.CallAnswered(1, 200, "text/plain", ByteString.EMPTY));
        driver.submit(2, HomeDriver.booking(0).call());
        assertThat(driver.find(HomeAction.ReplayAnswer.class), hasSize(1));
    }

    @Test
    void slowCallerIsDisconnected() {
        driver.sent(request);
        driver.token(1, 0, false);
        driver.on(new HomeEvent.CallerSlow(1));
        assertThat(driver.errorOf(1), is("slow-caller"));
        assertThat(driver.find(HomeAction.CancelAtTarget.class), hasSize(1));
    }

    @Test
    void plannedStopRejectsNewRequestsAndCompletesTheRest() {
        driver.sent(request);
        driver.submit(2, request);
        driver.on(new HomeEvent.StopRequested());
        driver.submit(3, request);
        assertThat(driver.errorOf(3), is("host-leaving"));
        driver.grant(2, driver.queuedAt(2), driver.nowMillis);
        driver.runSender(2);
        driver.token(2, 0, true);
        driver.token(1, 0, true);
        assertThat(driver.home.liveCount(), is(0));
        assertThat(driver.find(HomeAction.AnswerEnd.class), hasSize(2));
    }

    // The process ends while one request waits and another is with the sender. Told nothing, their callers can't know
    // that neither ran; sent after that, the second would run although its caller was told "not run".
    @Test
    void endOfTheProcessEndsRequestsThatWereNotSentAsNotRun() {
        driver.submit(1, request);
        driver.submit(2, request);
        driver.grant(2, driver.queuedAt(2), driver.nowMillis);
        driver.on(new HomeEvent.StopDue());
        assertThat(driver.errorOf(1), is("host-leaving"));
        assertThat(driver.errorOf(2), is("host-leaving"));
        driver.runSender(2);
        assertThat(driver.sentRequests, is(empty()));
        driver.submit(3, request);
        assertThat(driver.errorOf(3), is("host-leaving"));
        assertThat(driver.home.liveCount(), is(0));
    }

    // The process ends while a target works. "Not run" would make the caller send the request twice, and a cancelled
    // stream could not be resumed at another host.
    @Test
    void endOfTheProcessCutsSentRequestsAndCancelsNothing() {
        driver.sent(request);
        driver.submit(2, request);
        driver.grant(2, driver.queuedAt(2), driver.nowMillis);
        driver.pendingDispatches.get(2L).gate().trySend(driver.nowMillis);
        driver.on(new HomeEvent.StopDue());
        List<HomeAction.CutAnswer> cut = driver.find(HomeAction.CutAnswer.class);
        assertThat(cut, hasSize(2));
        cut.forEach(action -> assertThat(action.outcome().ran(), is(Ran.UNKNOWN)));
        driver.on(new HomeEvent.CallerDisconnected(1));
        assertThat(driver.find(HomeAction.CancelAtTarget.class), is(empty()));
        assertThat(driver.home.liveCount(), is(0));
    }

    @Test
    void hostHoldsNoMoreRequestsThanItsLimit() {
        for (int caller = 1; caller <= 21; caller++) {
            driver.submit(caller, request);
        }
        assertThat(driver.errorOf(21), is("host-full"));
        assertThat(driver.errorOf(20), is(not("host-full")));
    }

    // A host is full of waiting requests of low tiers when a request of a higher tier arrives. A waiting request of
    // the lowest tier is shed for it; requests that were sent continue.
    @Test
    void fullHostShedsTheLowestWaitingTier() {
        driver.sent(HomeDriver.engineRequest().tierRank(1).call());
        for (int caller = 2; caller <= 20; caller++) {
            driver.submit(
                    caller, HomeDriver.engineRequest().tierRank(1 + caller % 2).call());
        }
        driver.submit(21, request);
        assertThat(driver.errorOf(21), is(""));
        assertThat(driver.errorOf(2), is("shed"));
        assertThat(driver.errorOf(1), is(""));
        driver.submit(22, HomeDriver.engineRequest().tierRank(1).call());
        assertThat(driver.errorOf(22), is("host-full"));
    }

    private static Submission under(Ticket ticket) {
        return HomeDriver.booking(0).ticketNumber(new TicketNumber(ticket, 0)).call();
    }

    private long enqueues() {
        return driver.find(HomeAction.SendToOwner.class).stream()
                .filter(action -> action.frame().hasEnqueue())
                .count();
    }

    private static <T> T last(List<T> list) {
        return list.get(list.size() - 1);
    }
}
