package org.whinwharf.entry.internal;

import com.google.protobuf.MessageOrBuilder;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.sse.Event;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.Answer;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.wire.caller.AnswerError;
import org.whinwharf.wire.caller.End;
import org.whinwharf.wire.caller.Head;
import org.whinwharf.wire.caller.RequestState;
import org.whinwharf.wire.caller.Token;
import reactor.core.publisher.Flux;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/**
 * Answers one HTTP request: whole, or as server-sent events once the first of them is known.
 *
 * <p>Its methods are called by one thread.
 */
final class HttpSession implements CallerSession {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String NOT_EMITTED = "not-emitted: ";

    private final boolean stream;
    private final long maxUnreadBytes;
    private final MonoSink<HttpResponse<?>> response;
    private final Runnable whenSlow;
    private final Consumer<String> whenGone;
    private final CloseWatch watch;
    private final AtomicBoolean over = new AtomicBoolean();
    private final StringBuilder text = new StringBuilder();
    private final AtomicLong unreadBytes = new AtomicLong();
    private final Sinks.Empty<Void> broken = Sinks.empty();
    private Sinks.Many<Sized> events;
    private boolean slow;
    private volatile String requestId = "";
    private volatile int tokens;

    /**
     * Begins the answer.
     *
     * @param stream whether the caller wants events
     * @param maxUnreadBytes most bytes of events that may wait for the caller
     * @param response takes the response
     * @param whenSlow is run once when more waits
     * @param whenGone is told why the answer ended without its last event
     * @param watch watch on the caller's connection
     */
    HttpSession(
            boolean stream,
            long maxUnreadBytes,
            MonoSink<HttpResponse<?>> response,
            Runnable whenSlow,
            Consumer<String> whenGone,
            CloseWatch watch) {
        this.stream = stream;
        this.maxUnreadBytes = maxUnreadBytes;
        this.response = response;
        this.whenSlow = whenSlow;
        this.whenGone = whenGone;
        this.watch = watch;
        response.onCancel(() -> cut(watch.cause()));
        watch.begin(this::cut);
    }

    @Override
    public void head(Head head) {
        requestId = head.getRequestId();
        if (stream) {
            emit("head", head);
        }
    }

    @Override
    public void token(int index, String tokenText) {
        tokens = index + 1;
        if (stream) {
            emit("token", Token.newBuilder().setIndex(index).setText(tokenText));
        } else {
            text.append(tokenText);
        }
    }

    @Override
    public void body(String id, String target, Answer answer) {
        String body = answer.body().toStringUtf8();
        whole(id, target, body, 0, answer.status());
    }

    @Override
    public void end(String endedId, String target, int tokenCount) {
        if (stream) {
            emit("end", End.newBuilder().setTokens(tokenCount));
            events.tryEmitComplete();
        } else {
            whole(endedId, target, text.toString(), tokenCount, 0);
        }
    }

    @Override
    public void error(ErrorKind kind, AnswerError error) {
        if (events != null) {
            emit("error", error);
            events.tryEmitComplete();
        } else {
            answer(errorResponse(kind, error));
        }
    }

    @Override
    public void cutOff(ErrorKind kind, AnswerError error) {
        if (events == null) {
            answer(errorResponse(kind, error));
        } else {
            breakOff(CloseCause.STOPPED);
        }
    }

    @Override
    public void state(RequestState state) {
        answer(json(HttpStatus.OK.getCode(), state));
    }

    /** Makes the response of an error. */
    static HttpResponse<?> errorResponse(ErrorKind kind, AnswerError error) {
        MutableHttpResponse<String> answer = json(kind.httpStatus(), error);
        if (error.getComeBackMillis() > 0) {
            long seconds = (error.getComeBackMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            answer.header(HttpHeaders.RETRY_AFTER, String.valueOf(seconds));
        }
        return answer;
    }

    static MutableHttpResponse<String> json(int status, MessageOrBuilder message) {
        return HttpResponse.<String>status(status, "")
                .body(CallerJson.print(message))
                .contentType(MediaType.APPLICATION_JSON_TYPE);
    }

    static Event<String> event(String name, MessageOrBuilder message) {
        return Event.of(CallerJson.print(message)).name(name);
    }

    private void whole(String id, String target, String answer, int tokenCount, int status) {
        org.whinwharf.wire.caller.Answer message = org.whinwharf.wire.caller.Answer.newBuilder()
                .setRequestId(id)
                .setTarget(target)
                .setText(answer)
                .setTokens(tokenCount)
                .setStatus(status)
                .build();
        answer(json(HttpStatus.OK.getCode(), message));
    }

    private void answer(HttpResponse<?> whole) {
        over();
        response.success(whole);
    }

    private void emit(String name, MessageOrBuilder message) {
        open();
        Event<String> event = event(name, message);
        Sized sized = new Sized(event, event.getData().length());
        long unread = unreadBytes.addAndGet(sized.bytes());
        Sinks.EmitResult result = events.tryEmitNext(sized);
        // After the last event, and for a caller that is gone, nothing can be missing.
        boolean ended = result == Sinks.EmitResult.FAIL_TERMINATED || result == Sinks.EmitResult.FAIL_CANCELLED;
        if (result.isFailure() && !ended) {
            breakOff(NOT_EMITTED + result);
        }
        if (unread > maxUnreadBytes && !slow) {
            slow = true;
            whenSlow.run();
        }
    }

    /** Breaks the answer off: with a part missing it must not end as if it were whole. */
    private void breakOff(String cause) {
        cut(cause);
        broken.tryEmitError(new IllegalStateException(cause));
    }

    private void open() {
        if (events != null) {
            return;
        }
        events = Sinks.many().unicast().onBackpressureBuffer();
        Flux<Event<String>> body = events.asFlux()
                .takeUntilOther(broken.asMono())
                .doOnNext(sized -> unreadBytes.addAndGet(-sized.bytes()))
                .doOnCancel(() -> cut(watch.cause()))
                .doOnTerminate(this::over)
                .map(Sized::event);
        response.success(HttpResponse.ok(body).contentType(MediaType.TEXT_EVENT_STREAM_TYPE));
    }

    private void over() {
        over.set(true);
        watch.end();
    }

    private void cut(String cause) {
        if (!over.compareAndSet(false, true)) {
            return;
        }
        watch.end();
        EventLog.event(LogEvent.ANSWER_CUT)
                .with(EventField.REQUEST, requestId)
                .with(EventField.REASON, cause)
                .with(EventField.ANSWER_TOKENS, tokens)
                .with(EventField.UNREAD_BYTES, unreadBytes.get())
                .call();
        whenGone.accept(cause);
    }

    private record Sized(Event<String> event, int bytes) {}
}
