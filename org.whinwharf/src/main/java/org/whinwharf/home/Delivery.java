package org.whinwharf.home;

import com.google.protobuf.ByteString;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.wire.message.FinishKind;
import org.whinwharf.wire.schema.StreamToken;

/** Handles events from targets and delivers the answer to the callers in order. */
final class Delivery {
    private final HomeState state;
    private final RequestCompletion completion;
    private final Queueing queueing;
    private final UniformRandomProvider random;

    Delivery(HomeState state, RequestCompletion completion, Queueing queueing, UniformRandomProvider random) {
        this.state = state;
        this.completion = completion;
        this.queueing = queueing;
        this.random = random;
    }

    void sent(Request request) {
        if (request.phase != RequestPhase.GRANTED) {
            return;
        }
        request.phase = RequestPhase.SENT;
        request.sentAtMillis = state.nowMillis;
        state.sliceTracker.recordDispatch(request.routing, request.grant.getSlice());
        state.note(request, HomeNote.SENT, request.location.target());
        request.callers.keySet().forEach(caller -> sendHead(caller, request));
    }

    void connectFailed(Request request) {
        boolean dispatchPrevented = request.phase == RequestPhase.GRANTED && request.gate.close();
        if (dispatchPrevented || request.phase == RequestPhase.SENT && request.resumeAttempts == 0) {
            queueing.connectFailed(request);
        } else {
            streamBroken(request, HomeText.get("no-connection"));
        }
    }

    void targetRefused(Request request) {
        sent(request);
        if (request.phase != RequestPhase.SENT) {
            return;
        }
        completion.fail(
                request,
                ErrorKind.TARGET_REFUSED,
                HomeText.get("the-target-has-no-room"),
                FinishKind.REFUSED_BY_TARGET);
    }

    void targetFailed(Request request, int status) {
        sent(request);
        if (request.wasSent()) {
            completion.fail(request, ErrorKind.TARGET_FAILED, HomeText.get("status", status), FinishKind.FAILED);
        }
    }

    void tokenReceived(Request request, StreamToken token) {
        sent(request);
        if (!request.wasSent()) {
            return;
        }
        List<StreamToken> ready = request.assembler.accept(token);
        if (!ready.isEmpty()) {
            recordProgress(request, ready.get(0));
            ready.forEach(next -> forwardToken(request, next));
        }
        if (request.assembler.isComplete()) {
            completion.complete(request, Answer.ofTexts(request.assembler.texts()));
        } else if (request.assembler.hasGap() && !request.gapResumed) {
            // A token is missing although later ones arrived. Resuming the stream requests it again; otherwise the
            // caller would wait for ever.
            request.gapResumed = true;
            resumeStream(request, 0, HomeText.get("token-missing", request.assembler.nextIndex()));
        }
    }

    void callAnswered(Request request, int status, String contentType, ByteString body) {
        sent(request);
        if (!request.wasSent()) {
            return;
        }
        Answer answer = new Answer(List.of(), status, contentType, body);
        for (long caller : request.callers.keySet()) {
            state.requestOfCaller.remove(caller);
            state.emit(new HomeAction.AnswerBody(caller, request.sequence, request.location.target(), answer));
        }
        request.callers.clear();
        completion.complete(request, answer);
    }

    void streamBroken(Request request, String reason) {
        sent(request);
        if (!request.wasSent()) {
            return;
        }
        boolean mayResume =
                request.submission.isEngine() && request.resumeAttempts < state.settings.maxResumeAttempts();
        if (!mayResume) {
            failAsLost(request, reason);
            return;
        }
        long delayMillis = backoffMillis(request.resumeAttempts);
        request.resumeAttempts++;
        resumeStream(request, delayMillis, reason);
    }

    /**
     * Asks a silent target for the rest of its stream. Only the deadline bounds the attempts: the target has the work
     * and may go on at any moment, and no other one may receive the request.
     */
    void streamSilent(Request request, String reason) {
        sent(request);
        if (!request.wasSent()) {
            return;
        }
        long delayMillis = backoffMillis(Math.min(request.silentResumeAttempts, state.settings.maxResumeAttempts()));
        request.silentResumeAttempts++;
        resumeStream(request, delayMillis, reason);
    }

    void streamUnknown(Request request) {
        if (request.wasSent()) {
            failAsLost(request, HomeText.get("the-target-does-not-know-the-stream"));
        }
    }

    /** Adds a caller that receives the answer from a token index on. */
    void addCaller(Request request, long caller, int fromIndex) {
        request.callers.put(caller, fromIndex);
        state.requestOfCaller.put(caller, request.sequence);
        request.rejoinGraceEndsAtMillis = Long.MAX_VALUE;
        if (!request.wasSent()) {
            return;
        }
        sendHead(caller, request);
        List<String> texts = request.assembler.texts();
        for (int index = fromIndex; index < texts.size(); index++) {
            sendToken(request, caller, index, texts.get(index));
        }
    }

    private void sendHead(long caller, Request request) {
        String organisation = request.submission.organisation();
        state.emit(new HomeAction.AnswerHead(caller, request.sequence, request.location, organisation));
    }

    private void recordProgress(Request request, StreamToken first) {
        request.resumeAttempts = 0;
        request.silentResumeAttempts = 0;
        request.gapResumed = false;
        if (request.phase == RequestPhase.SENT) {
            request.phase = RequestPhase.STREAMING;
            request.firstTokenAtMillis = state.nowMillis;
            request.prefillTokens = first.getPrefillTokens();
            request.promptTokens = Math.max(request.promptTokens, first.getPromptTokens());
            state.note(request, HomeNote.FIRST_TOKEN, HomeText.get("prefill", first.getPrefillTokens()));
        }
    }

    private void forwardToken(Request request, StreamToken token) {
        for (long caller : List.copyOf(request.callers.keySet())) {
            sendToken(request, caller, token.getIndex(), token.getText());
        }
    }

    private void sendToken(Request request, long caller, int index, String text) {
        if (index < request.callers.get(caller)) {
            return;
        }
        request.callers.put(caller, index + 1);
        state.emit(new HomeAction.AnswerToken(caller, index, text));
    }

    private void resumeStream(Request request, long delayMillis, String reason) {
        state.note(request, HomeNote.RESUMED, reason);
        int fromIndex = request.assembler.nextIndex();
        state.emit(new HomeAction.ResumeStream(request.sequence, request.location, fromIndex, delayMillis));
    }

    private void failAsLost(Request request, String reason) {
        state.emit(new HomeAction.CancelAtTarget(request.sequence, request.location, request.submission.isEngine()));
        completion.fail(request, ErrorKind.TARGET_LOST, reason, FinishKind.LOST);
    }

    // The first attempt is immediate. Later ones are jittered, so that the streams of a recovered target do not all
    // resume at the same instant.
    private long backoffMillis(int attempts) {
        if (attempts == 0) {
            return 0;
        }
        double maxMillis = state.settings.resumeBackoffMillis() * Math.pow(2, attempts - 1);
        return Math.round(maxMillis * (1 + random.nextDouble()) / 2);
    }
}
