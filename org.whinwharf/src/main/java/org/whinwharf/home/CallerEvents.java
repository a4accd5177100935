package org.whinwharf.home;

import java.util.Comparator;
import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.TicketTable.NumberRecord;
import org.whinwharf.ticket.NumberWindow;
import org.whinwharf.ticket.Ticket;
import org.whinwharf.wire.message.FinishKind;

/**
 * Handles events from callers: admits requests, joins repeated submissions to the first attempt, and handles state
 * queries, cancellations and disconnects.
 */
final class CallerEvents {
    private final HomeState state;
    private final RequestCompletion completion;
    private final Queueing queueing;
    private final Delivery delivery;

    CallerEvents(HomeState state, RequestCompletion completion, Queueing queueing, Delivery delivery) {
        this.state = state;
        this.completion = completion;
        this.queueing = queueing;
        this.delivery = delivery;
    }

    void submitted(long caller, Submission submission) {
        Optional<TicketNumber> numbered = submission.ticketNumber();
        if (numbered.isEmpty()) {
            submittedWithoutTicket(caller, submission);
            return;
        }
        Optional<Outcome> error = ticketError(numbered.get().ticket(), submission.organisation());
        if (error.isPresent()) {
            sendError(caller, 0, error.get());
            return;
        }
        submittedUnderTicket(caller, submission, numbered.get());
    }

    void rejoined(long caller, long sequence, String organisation, int fromIndex) {
        Request request = state.liveById.get(sequence);
        if (request != null && request.submission.organisation().equals(organisation)) {
            delivery.addCaller(request, caller, fromIndex);
            return;
        }
        sendEndedOutcome(caller, sequence, organisation, fromIndex);
    }

    void lookedUp(long caller, long sequence, String organisation) {
        Request request = state.liveById.get(sequence);
        if (request != null && request.submission.organisation().equals(organisation)) {
            sendState(caller, request);
            return;
        }
        HomeState.Ended ended = state.endedById.get(sequence);
        if (ended == null || !ended.organisation().equals(organisation)) {
            sendUnknownRequest(caller, sequence);
            return;
        }
        state.emit(new HomeAction.AnswerState(caller, sequence, RequestPhase.ENDED, ended.outcome()));
    }

    void numberLookedUp(long caller, TicketNumber ticketNumber, String organisation) {
        Optional<Outcome> error = ticketError(ticketNumber.ticket(), organisation);
        if (error.isPresent()) {
            sendError(caller, 0, error.get());
            return;
        }
        Optional<NumberRecord> seen =
                state.tickets.find(ticketNumber.ticket()).flatMap(window -> window.record(ticketNumber.number()));
        if (seen.isEmpty()) {
            sendUnknownRequest(caller, 0);
            return;
        }
        lookedUp(caller, seen.get().sequence(), organisation);
    }

    void cancelRequested(long caller, long sequence, String organisation) {
        Request request = state.liveById.get(sequence);
        if (request != null && request.submission.organisation().equals(organisation)) {
            completion.cancel(request, ErrorKind.CANCELLED_WAITING, ErrorKind.CANCELLED_RUNNING);
        }
        lookedUp(caller, sequence, organisation);
    }

    void callerDisconnected(long caller) {
        Long sequence = state.requestOfCaller.remove(caller);
        Request request = sequence == null ? null : state.liveById.get(sequence);
        if (request == null) {
            return;
        }
        request.callers.remove(caller);
        if (request.callers.isEmpty()) {
            lastCallerDisconnected(request);
        }
    }

    void callerSlow(long caller) {
        if (state.requestOfCaller.containsKey(caller)) {
            Outcome outcome = state.failure(ErrorKind.SLOW_CALLER, HomeText.get("the-caller-read-too-slowly"));
            sendError(caller, state.requestOfCaller.get(caller), outcome);
            callerDisconnected(caller);
        }
    }

    /** Cancels a request whose callers did not rejoin within the grace time. */
    void rejoinGraceExpired(Request request) {
        request.rejoinGraceEndsAtMillis = Long.MAX_VALUE;
        if (!mustRunToCompletion(request)) {
            completion.cancel(request, ErrorKind.CANCELLED_WAITING, ErrorKind.CANCELLED_RUNNING);
        }
    }

    private void submittedWithoutTicket(long caller, Submission submission) {
        if (!submission.isIdempotent()) {
            sendError(
                    caller, 0, state.failure(ErrorKind.TICKET_REQUIRED, HomeText.get("the-call-may-not-be-repeated")));
            return;
        }
        Optional<Outcome> error = admissionError(submission);
        if (error.isPresent()) {
            sendError(caller, state.nextSequence(), error.get());
            return;
        }
        accept(caller, submission, state.nextSequence());
    }

    private void submittedUnderTicket(long caller, Submission submission, TicketNumber numbered) {
        Optional<NumberWindow<NumberRecord>> window = state.tickets.open(numbered.ticket());
        if (window.isEmpty()) {
            sendError(
                    caller,
                    0,
                    state.failure(ErrorKind.HOST_FULL, HomeText.get("too-many-tickets-ask-for-addresses-again")));
            return;
        }
        if (window.get().isSeen(numbered.number())) {
            repeated(caller, submission, window.get().record(numbered.number()));
            return;
        }
        long sequence = state.nextSequence();
        if (!window.get().take(numbered.number(), new NumberRecord(sequence, submission.contentDigest()))) {
            sendError(
                    caller,
                    0,
                    state.failure(ErrorKind.BAD_VALUE, HomeText.get("too-many-gaps-in-the-numbers-take-a-new")));
            return;
        }
        Optional<Outcome> error = admissionError(submission);
        if (error.isPresent()) {
            // This rejection consumes the number. A copy of the request that arrives late over another path must
            // not run, because its caller was told that it did not.
            state.recordEnded(sequence, submission, error.get());
            sendError(caller, sequence, error.get());
            return;
        }
        accept(caller, submission, sequence);
    }

    private void accept(long caller, Submission submission, long sequence) {
        Request request = new Request(sequence, submission, state.nowMillis);
        state.liveById.put(sequence, request);
        state.retryBudget.recordNewRequest(state.view.retryRatio());
        state.note(
                request, HomeNote.ACCEPTED, HomeText.get("accepted", submission.service(), submission.organisation()));
        delivery.addCaller(request, caller, submission.fromIndex());
        state.scheduleTimer(request);
        queueing.place(request);
    }

    private void repeated(long caller, Submission submission, Optional<NumberRecord> seen) {
        if (seen.isEmpty()) {
            sendUnknownRequest(caller, 0);
            return;
        }
        if (seen.get().contentDigest() != submission.contentDigest()) {
            Outcome reused =
                    state.failure(ErrorKind.NUMBER_REUSED, HomeText.get("the-number-stands-for-another-request"));
            sendError(caller, seen.get().sequence(), reused);
            return;
        }
        Request request = state.liveById.get(seen.get().sequence());
        if (request != null) {
            state.note(request, HomeNote.JOINED, "");
        }
        rejoined(caller, seen.get().sequence(), submission.organisation(), submission.fromIndex());
    }

    private void sendEndedOutcome(long caller, long sequence, String organisation, int fromIndex) {
        HomeState.Ended ended = state.endedById.get(sequence);
        if (ended == null || !ended.organisation().equals(organisation)) {
            sendUnknownRequest(caller, sequence);
        } else if (ended.outcome().error().isPresent()) {
            sendError(caller, sequence, ended.outcome());
        } else {
            state.emit(new HomeAction.ReplayAnswer(caller, sequence, fromIndex, ended.outcome()));
        }
    }

    private Optional<Outcome> ticketError(Ticket ticket, String organisation) {
        boolean issuedHere = ticket.home().equals(state.settings.host());
        if (!issuedHere || !ticket.organisation().equals(organisation)) {
            return Optional.of(
                    state.failure(ErrorKind.BAD_TICKET, HomeText.get("the-ticket-belongs-to-somebody-else")));
        }
        if (ticket.incarnation() != state.settings.incarnation()) {
            return Optional.of(state.failure(ErrorKind.HOME_RESTARTED, HomeText.get("the-home-was-restarted")));
        }
        if (ticket.expiresAtMillis() <= state.nowMillis) {
            return Optional.of(state.failure(ErrorKind.TICKET_EXPIRED, HomeText.get("the-ticket-has-run-out")));
        }
        return Optional.empty();
    }

    private Optional<Outcome> admissionError(Submission submission) {
        if (state.leaving) {
            return Optional.of(state.failure(ErrorKind.HOST_LEAVING, HomeText.get("this-host-is-leaving")));
        }
        if (!state.view.isInService(state.settings.dataCentre())) {
            return Optional.of(
                    state.failure(ErrorKind.HOST_LEAVING, HomeText.get("this-data-centre-is-out-of-service")));
        }
        if (state.liveById.size() >= state.settings.maxRequests() && !shedLowerTier(submission.tierRank())) {
            return Optional.of(
                    state.failure(ErrorKind.HOST_FULL, HomeText.get("this-host-holds-all-the-requests-it-can")));
        }
        return Optional.empty();
    }

    // A full host must not reject a request of a higher tier while requests of lower tiers wait. Only waiting requests
    // are shed, never sent ones.
    private boolean shedLowerTier(int tierRank) {
        Optional<Request> lowest = state.liveById.values().stream()
                .filter(request -> request.phase == RequestPhase.WAITING)
                .filter(request -> request.submission.tierRank() < tierRank)
                .min(Comparator.comparingInt(request -> request.submission.tierRank()));
        lowest.ifPresent(request -> completion.end(
                request,
                state.failure(ErrorKind.SHED, HomeText.get("a-higher-tier-needs-the-room")),
                FinishKind.UNUSED));
        return lowest.isPresent();
    }

    private void lastCallerDisconnected(Request request) {
        state.note(request, HomeNote.CALLERS_GONE, "");
        if (mustRunToCompletion(request)) {
            return;
        }
        if (request.submission.ticketNumber().isEmpty()) {
            completion.cancel(request, ErrorKind.CANCELLED_WAITING, ErrorKind.CANCELLED_RUNNING);
            return;
        }
        request.rejoinGraceEndsAtMillis = state.nowMillis + state.settings.rejoinGraceMillis();
        state.scheduleTimer(request);
    }

    // A granted or sent call that is not idempotent runs to completion without callers: its caller will query the
    // outcome, and only the complete answer provides it.
    private static boolean mustRunToCompletion(Request request) {
        return !request.submission.isIdempotent() && request.phase != RequestPhase.WAITING;
    }

    private void sendState(long caller, Request request) {
        String target = request.location == null ? "" : request.location.target();
        Outcome soFar = Outcome.completed(target, request.assembler.nextIndex());
        state.emit(new HomeAction.AnswerState(caller, request.sequence, request.phase, soFar));
    }

    private void sendUnknownRequest(long caller, long sequence) {
        sendError(
                caller,
                sequence,
                state.failure(ErrorKind.UNKNOWN_REQUEST, HomeText.get("nothing-is-known-of-this-request")));
    }

    private void sendError(long caller, long sequence, Outcome outcome) {
        state.emit(new HomeAction.AnswerError(caller, sequence, outcome));
    }
}
