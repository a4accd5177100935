package org.whinwharf.home;

import java.util.Comparator;
import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.TicketTable.Seen;
import org.whinwharf.ticket.NumberWindow;
import org.whinwharf.ticket.Ticket;
import org.whinwharf.wire.message.FinishKind;

/** Takes requests on, finds the first attempt of a repeat, and handles callers that ask, cancel or go away. */
final class Intake {
    private final HomeState state;
    private final Ending ending;
    private final Queueing queueing;
    private final Delivery delivery;

    Intake(HomeState state, Ending ending, Queueing queueing, Delivery delivery) {
        this.state = state;
        this.ending = ending;
        this.queueing = queueing;
        this.delivery = delivery;
    }

    void submitted(long caller, Submission submission) {
        Optional<TicketNumber> numbered = submission.ticketNumber();
        if (numbered.isEmpty()) {
            submittedOnce(caller, submission);
            return;
        }
        Optional<Outcome> fault = ticketFault(numbered.get().ticket(), submission.organisation());
        if (fault.isPresent()) {
            tell(caller, 0, fault.get());
            return;
        }
        submittedUnderTicket(caller, submission, numbered.get());
    }

    void rejoined(long caller, long sequence, String organisation, int fromIndex) {
        Request request = state.live.get(sequence);
        if (request != null && request.submission.organisation().equals(organisation)) {
            delivery.join(request, caller, fromIndex);
            return;
        }
        tellEnded(caller, sequence, organisation, fromIndex);
    }

    void lookedUp(long caller, long sequence, String organisation) {
        Request request = state.live.get(sequence);
        if (request != null && request.submission.organisation().equals(organisation)) {
            tellState(caller, request);
            return;
        }
        HomeState.Ended ended = state.ended.get(sequence);
        if (ended == null || !ended.organisation().equals(organisation)) {
            tellUnknown(caller, sequence);
            return;
        }
        state.emit(new HomeAction.AnswerState(caller, sequence, RequestPhase.ENDED, ended.outcome()));
    }

    void numberLookedUp(long caller, TicketNumber ticketNumber, String organisation) {
        Optional<Outcome> fault = ticketFault(ticketNumber.ticket(), organisation);
        if (fault.isPresent()) {
            tell(caller, 0, fault.get());
            return;
        }
        Optional<Seen> seen =
                state.tickets.find(ticketNumber.ticket()).flatMap(window -> window.record(ticketNumber.number()));
        if (seen.isEmpty()) {
            tellUnknown(caller, 0);
            return;
        }
        lookedUp(caller, seen.get().sequence(), organisation);
    }

    void cancelAsked(long caller, long sequence, String organisation) {
        Request request = state.live.get(sequence);
        if (request != null && request.submission.organisation().equals(organisation)) {
            ending.cancel(request, ErrorKind.CANCELLED_WAITING, ErrorKind.CANCELLED_RUNNING);
        }
        lookedUp(caller, sequence, organisation);
    }

    void callerGone(long caller) {
        Long sequence = state.requestOfCaller.remove(caller);
        Request request = sequence == null ? null : state.live.get(sequence);
        if (request == null) {
            return;
        }
        request.callers.remove(caller);
        if (request.callers.isEmpty()) {
            orphaned(request);
        }
    }

    void callerSlow(long caller) {
        if (state.requestOfCaller.containsKey(caller)) {
            Outcome outcome = state.failed(ErrorKind.SLOW_CALLER, HomeText.get("the-caller-read-too-slowly"));
            tell(caller, state.requestOfCaller.get(caller), outcome);
            callerGone(caller);
        }
    }

    /** Ends the grace of a request whose callers did not come back. */
    void graceEnded(Request request) {
        request.orphanEndsAtMillis = Long.MAX_VALUE;
        if (!mustFinish(request)) {
            ending.cancel(request, ErrorKind.CANCELLED_WAITING, ErrorKind.CANCELLED_RUNNING);
        }
    }

    private void submittedOnce(long caller, Submission submission) {
        if (!submission.isIdempotent()) {
            tell(caller, 0, state.failed(ErrorKind.TICKET_REQUIRED, HomeText.get("the-call-may-not-be-repeated")));
            return;
        }
        Optional<Outcome> obstacle = obstacle(submission);
        if (obstacle.isPresent()) {
            tell(caller, state.nextSequence(), obstacle.get());
            return;
        }
        accept(caller, submission, state.nextSequence());
    }

    private void submittedUnderTicket(long caller, Submission submission, TicketNumber numbered) {
        Optional<NumberWindow<Seen>> window = state.tickets.open(numbered.ticket());
        if (window.isEmpty()) {
            tell(
                    caller,
                    0,
                    state.failed(ErrorKind.HOST_FULL, HomeText.get("too-many-tickets-ask-for-addresses-again")));
            return;
        }
        if (window.get().isSeen(numbered.number())) {
            repeated(caller, submission, window.get().record(numbered.number()));
            return;
        }
        long sequence = state.nextSequence();
        if (!window.get().take(numbered.number(), new Seen(sequence, submission.contentDigest()))) {
            tell(caller, 0, state.failed(ErrorKind.BAD_VALUE, HomeText.get("too-many-gaps-in-the-numbers-take-a-new")));
            return;
        }
        Optional<Outcome> obstacle = obstacle(submission);
        if (obstacle.isPresent()) {
            // The number is used up by this refusal. A copy of the request that comes late over another path must
            // not run after its caller was told that it did not.
            state.recordEnded(sequence, submission, obstacle.get());
            tell(caller, sequence, obstacle.get());
            return;
        }
        accept(caller, submission, sequence);
    }

    private void accept(long caller, Submission submission, long sequence) {
        Request request = new Request(sequence, submission, state.nowMillis);
        state.live.put(sequence, request);
        state.budget.fresh(state.view.retryRatio());
        state.note(
                request, HomeNote.ACCEPTED, HomeText.get("accepted", submission.service(), submission.organisation()));
        delivery.join(request, caller, submission.fromIndex());
        state.schedule(request);
        queueing.place(request);
    }

    private void repeated(long caller, Submission submission, Optional<Seen> seen) {
        if (seen.isEmpty()) {
            tellUnknown(caller, 0);
            return;
        }
        if (seen.get().contentDigest() != submission.contentDigest()) {
            Outcome reused =
                    state.failed(ErrorKind.NUMBER_REUSED, HomeText.get("the-number-stands-for-another-request"));
            tell(caller, seen.get().sequence(), reused);
            return;
        }
        Request request = state.live.get(seen.get().sequence());
        if (request != null) {
            state.note(request, HomeNote.JOINED, "");
        }
        rejoined(caller, seen.get().sequence(), submission.organisation(), submission.fromIndex());
    }

    private void tellEnded(long caller, long sequence, String organisation, int fromIndex) {
        HomeState.Ended ended = state.ended.get(sequence);
        if (ended == null || !ended.organisation().equals(organisation)) {
            tellUnknown(caller, sequence);
        } else if (ended.outcome().error().isPresent()) {
            tell(caller, sequence, ended.outcome());
        } else {
            state.emit(new HomeAction.ReplayAnswer(caller, sequence, fromIndex, ended.outcome()));
        }
    }

    private Optional<Outcome> ticketFault(Ticket ticket, String organisation) {
        boolean isOurs = ticket.home().equals(state.settings.host());
        if (!isOurs || !ticket.organisation().equals(organisation)) {
            return Optional.of(state.failed(ErrorKind.BAD_TICKET, HomeText.get("the-ticket-belongs-to-somebody-else")));
        }
        if (ticket.incarnation() != state.settings.incarnation()) {
            return Optional.of(state.failed(ErrorKind.HOME_RESTARTED, HomeText.get("the-home-was-restarted")));
        }
        if (ticket.expiresAtMillis() <= state.nowMillis) {
            return Optional.of(state.failed(ErrorKind.TICKET_EXPIRED, HomeText.get("the-ticket-has-run-out")));
        }
        return Optional.empty();
    }

    private Optional<Outcome> obstacle(Submission submission) {
        if (state.leaving) {
            return Optional.of(state.failed(ErrorKind.HOST_LEAVING, HomeText.get("this-host-is-leaving")));
        }
        if (!state.view.isInService(state.settings.dataCentre())) {
            return Optional.of(
                    state.failed(ErrorKind.HOST_LEAVING, HomeText.get("this-data-centre-is-out-of-service")));
        }
        if (state.live.size() >= state.settings.maxRequests() && !makeRoom(submission.tierRank())) {
            return Optional.of(
                    state.failed(ErrorKind.HOST_FULL, HomeText.get("this-host-holds-all-the-requests-it-can")));
        }
        return Optional.empty();
    }

    // A full host must not turn a ranger away while it keeps a lower tier waiting. What was sent stays.
    private boolean makeRoom(int tierRank) {
        Optional<Request> lowest = state.live.values().stream()
                .filter(request -> request.phase == RequestPhase.WAITING)
                .filter(request -> request.submission.tierRank() < tierRank)
                .min(Comparator.comparingInt(request -> request.submission.tierRank()));
        lowest.ifPresent(request -> ending.end(
                request,
                state.failed(ErrorKind.SHED, HomeText.get("a-higher-tier-needs-the-room")),
                FinishKind.UNUSED));
        return lowest.isPresent();
    }

    private void orphaned(Request request) {
        state.note(request, HomeNote.CALLERS_GONE, "");
        if (mustFinish(request)) {
            return;
        }
        if (request.submission.ticketNumber().isEmpty()) {
            ending.cancel(request, ErrorKind.CANCELLED_WAITING, ErrorKind.CANCELLED_RUNNING);
            return;
        }
        request.orphanEndsAtMillis = state.nowMillis + state.settings.rejoinGraceMillis();
        state.schedule(request);
    }

    // A call that may not be repeated and is under way goes on to its end: its caller will ask what became of it, and
    // only a whole answer tells.
    private static boolean mustFinish(Request request) {
        return !request.submission.isIdempotent() && request.phase != RequestPhase.WAITING;
    }

    private void tellState(long caller, Request request) {
        String target = request.place == null ? "" : request.place.target();
        Outcome soFar = Outcome.completed(target, request.assembler.nextIndex());
        state.emit(new HomeAction.AnswerState(caller, request.sequence, request.phase, soFar));
    }

    private void tellUnknown(long caller, long sequence) {
        tell(
                caller,
                sequence,
                state.failed(ErrorKind.UNKNOWN_REQUEST, HomeText.get("nothing-is-known-of-this-request")));
    }

    private void tell(long caller, long sequence, Outcome outcome) {
        state.emit(new HomeAction.AnswerError(caller, sequence, outcome));
    }
}
