package org.whinwharf.home;

import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Ran;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Withdraw;

/** Ends each request once, with one outcome, and sends the outcome to all its remaining callers. */
final class RequestCompletion {
    private final HomeState state;
    private final OwnerLinks owners;

    RequestCompletion(HomeState state, OwnerLinks owners) {
        this.state = state;
        this.owners = owners;
    }

    /**
     * Prevents the dispatch of a request that was not sent yet.
     *
     * <p>The sender may have passed the gate before the home receives the event that says so. The request then counts
     * as sent: if its caller were told "not run", it would submit the request again, and a booking would be made twice.
     *
     * @return true when the request was not sent and never will be
     */
    boolean preventDispatch(Request request) {
        if (request.phase == RequestPhase.WAITING) {
            return true;
        }
        if (request.phase == RequestPhase.GRANTED && request.gate.close()) {
            return true;
        }
        if (request.phase == RequestPhase.GRANTED) {
            request.phase = RequestPhase.SENT;
            request.sentAtMillis = state.nowMillis;
        }
        return false;
    }

    /** Ends a request early, with a different error for a request that was already sent. */
    void cancel(Request request, ErrorKind errorIfWaiting, ErrorKind errorIfRunning) {
        if (preventDispatch(request)) {
            end(request, state.failure(errorIfWaiting, HomeText.get("the-request-waited")), FinishKind.UNUSED);
            return;
        }
        state.emit(new HomeAction.CancelAtTarget(request.sequence, request.location, request.submission.isEngine()));
        fail(request, errorIfRunning, HomeText.get("the-target-was-at-work"), FinishKind.CANCELLED);
    }

    /** Ends a request because the process ends. A target that is at work goes on, for callers that resume a stream. */
    void cutOff(Request request) {
        if (preventDispatch(request)) {
            end(
                    request,
                    state.failure(ErrorKind.HOST_LEAVING, HomeText.get("this-host-is-leaving")),
                    FinishKind.UNUSED);
            return;
        }
        Outcome outcome =
                Outcome.failed(ErrorKind.TARGET_LOST, HomeText.get("this-host-has-left"), 0, request.location.target());
        for (long caller : request.callers.keySet()) {
            state.requestOfCaller.remove(caller);
            state.emit(new HomeAction.CutAnswer(caller, request.sequence, outcome));
        }
        request.callers.clear();
        end(request, outcome, FinishKind.LOST);
    }

    /** Ends a sent request with an error. */
    void fail(Request request, ErrorKind kind, String detail, FinishKind finish) {
        String target = request.location == null ? "" : request.location.target();
        end(request, Outcome.failed(kind, detail, state.settings.defaultRetryAfterMillis(), target), finish);
    }

    /** Ends a request whose answer is complete. */
    void complete(Request request, Answer answer) {
        state.emit(new HomeAction.CacheAnswer(request.sequence, answer));
        Outcome outcome = Outcome.completed(request.location.target(), request.assembler.nextIndex());
        end(request, outcome, FinishKind.COMPLETED);
    }

    /** Ends a request with any outcome. */
    void end(Request request, Outcome outcome, FinishKind finish) {
        boolean sent = request.wasSent();
        if (outcome.ran() == Ran.NOT_RUN && sent && finish != FinishKind.REFUSED_BY_TARGET) {
            throw new IllegalStateException("outcome \"not run\" for a request that was sent: " + outcome.detail());
        }
        withdraw(request);
        if (request.grant != null) {
            owners.finished(request, finish, state.nowMillis);
        }
        if (sent) {
            state.emit(new HomeAction.ReleaseConnection(request.sequence));
        }
        request.phase = RequestPhase.ENDED;
        state.liveById.remove(request.sequence);
        state.recordEnded(request.sequence, request.submission, outcome);
        notifyCallers(request, outcome);
        state.note(
                request,
                HomeNote.ENDED,
                outcome.error().map(ErrorKind::wireName).orElse("whole"));
        RequestTimes times = request.times(state.nowMillis);
        state.emit(new HomeAction.RecordMetrics(request.sequence, request.submission, outcome, times));
    }

    /** Withdraws a request from the queue of its slice owner. */
    void withdraw(Request request) {
        if (request.owner == null) {
            return;
        }
        Withdraw withdraw = Withdraw.newBuilder()
                .setSlice(request.slice)
                .setRequest(request.sequence)
                .build();
        owners.send(request.owner, Frame.newBuilder().setWithdraw(withdraw).build());
        request.leaveQueue();
    }

    private void notifyCallers(Request request, Outcome outcome) {
        for (long caller : request.callers.keySet()) {
            state.requestOfCaller.remove(caller);
            notifyCaller(caller, request.sequence, outcome);
        }
        request.callers.clear();
    }

    private void notifyCaller(long caller, long sequence, Outcome outcome) {
        Optional<ErrorKind> error = outcome.error();
        if (error.isPresent()) {
            state.emit(new HomeAction.AnswerError(caller, sequence, outcome));
        } else {
            state.emit(new HomeAction.AnswerEnd(caller, sequence, outcome.target(), outcome.tokens()));
        }
    }
}
