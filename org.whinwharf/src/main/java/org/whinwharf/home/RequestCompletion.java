package org.whinwharf.home;

import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Ran;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Withdraw;

/** Ends requests: each of them once, with one outcome, told to every caller that still listens. */
final class RequestCompletion {
    private final HomeState state;
    private final OwnerLinks owners;

    RequestCompletion(HomeState state, OwnerLinks owners) {
        this.state = state;
        this.owners = owners;
    }

    /**
     * Makes sure that a request that was not sent never will be.
     *
     * <p>The sender may be past the gate although no word of it has come back yet. The request then counts as sent: to
     * say "not run" here would be a lie that a caller notices as a booking made twice.
     *
     * @return true when it did not leave and never will
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

    /** Ends a request early; what it is told depends on whether it left. */
    void cancel(Request request, ErrorKind whileWaiting, ErrorKind whileRunning) {
        if (preventDispatch(request)) {
            end(request, state.failure(whileWaiting, HomeText.get("the-request-waited")), FinishKind.UNUSED);
            return;
        }
        state.emit(new HomeAction.CancelAtTarget(request.sequence, request.location, request.submission.isEngine()));
        fail(request, whileRunning, HomeText.get("the-target-was-at-work"), FinishKind.CANCELLED);
    }

    /** Ends a request that was sent. */
    void fail(Request request, ErrorKind kind, String detail, FinishKind finish) {
        String target = request.location == null ? "" : request.location.target();
        end(request, Outcome.failed(kind, detail, state.settings.defaultRetryAfterMillis(), target), finish);
    }

    /** Ends a request whose answer is whole. */
    void complete(Request request, Answer answer) {
        state.emit(new HomeAction.CacheAnswer(request.sequence, answer));
        Outcome outcome = Outcome.completed(request.location.target(), request.assembler.nextIndex());
        end(request, outcome, FinishKind.COMPLETED);
    }

    /** Ends a request with any outcome. */
    void end(Request request, Outcome outcome, FinishKind finish) {
        boolean left = request.wasSent();
        if (outcome.ran() == Ran.NOT_RUN && left && finish != FinishKind.REFUSED_BY_TARGET) {
            throw new IllegalStateException("not run was said of a request that left: " + outcome.detail());
        }
        withdraw(request);
        if (request.grant != null) {
            owners.finished(request, finish, state.nowMillis);
        }
        if (left) {
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

    /** Takes a request out of the queue it waits in. */
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
