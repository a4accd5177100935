package org.whinwharf.entry.internal;

import com.google.protobuf.MessageOrBuilder;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.sse.Event;
import java.util.concurrent.atomic.AtomicLong;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.Answer;
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

    private final boolean stream;
    private final long maxUnreadBytes;
    private final MonoSink<HttpResponse<?>> response;
    private final Runnable whenSlow;
    private final Runnable whenGone;
    private final Runnable whenOver;
    private final StringBuilder text = new StringBuilder();
    private final AtomicLong unreadBytes = new AtomicLong();
    private Sinks.Many<Sized> events;
    private boolean slow;

    HttpSession(
            boolean stream,
            long maxUnreadBytes,
            MonoSink<HttpResponse<?>> response,
            Runnable whenSlow,
            Runnable whenGone,
            Runnable whenOver) {
        this.stream = stream;
        this.maxUnreadBytes = maxUnreadBytes;
        this.response = response;
        this.whenSlow = whenSlow;
        this.whenGone = whenGone;
        this.whenOver = whenOver;
    }

    @Override
    public void head(Head head) {
        if (stream) {
            emit("head", head);
        }
    }

    @Override
    public void token(int index, String tokenText) {
        if (stream) {
            emit("token", Token.newBuilder().setIndex(index).setText(tokenText));
        } else {
            text.append(tokenText);
        }
    }

    @Override
    public void body(String requestId, String target, Answer answer) {
        String body = answer.body().toStringUtf8();
        whole(requestId, target, body, 0, answer.status());
    }

    @Override
    public void end(String requestId, String target, int tokens) {
        if (stream) {
            emit("end", End.newBuilder().setTokens(tokens));
            events.tryEmitComplete();
        } else {
            whole(requestId, target, text.toString(), tokens, 0);
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

    private void whole(String requestId, String target, String answer, int tokens, int status) {
        org.whinwharf.wire.caller.Answer message = org.whinwharf.wire.caller.Answer.newBuilder()
                .setRequestId(requestId)
                .setTarget(target)
                .setText(answer)
                .setTokens(tokens)
                .setStatus(status)
                .build();
        answer(json(HttpStatus.OK.getCode(), message));
    }

    private void answer(HttpResponse<?> whole) {
        whenOver.run();
        response.success(whole);
    }

    private void emit(String name, MessageOrBuilder message) {
        open();
        Event<String> event = event(name, message);
        Sized sized = new Sized(event, event.getData().length());
        long unread = unreadBytes.addAndGet(sized.bytes());
        events.tryEmitNext(sized);
        if (unread > maxUnreadBytes && !slow) {
            slow = true;
            whenSlow.run();
        }
    }

    private void open() {
        if (events != null) {
            return;
        }
        events = Sinks.many().unicast().onBackpressureBuffer();
        Flux<Event<String>> body = events.asFlux()
                .doOnNext(sized -> unreadBytes.addAndGet(-sized.bytes()))
                .doOnCancel(whenGone)
                .doFinally(signal -> whenOver.run())
                .map(Sized::event);
        response.success(HttpResponse.ok(body).contentType(MediaType.TEXT_EVENT_STREAM_TYPE));
    }

    private record Sized(Event<String> event, int bytes) {}
}
