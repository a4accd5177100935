package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.RouteKind;

/**
 * Assembles the response to a caller from the responses of one or several successive targets.
 *
 * <p>Streams are forwarded as they arrive. Any other response is buffered whole before it is forwarded, so that a
 * truncated one can be fetched from another target and never reaches the caller under a success status.
 */
final class ResponseAssembler {
    private static final int MAX_EVENT_BYTES = 1_024 * 1_024;
    /** Maximum number of chunks of a body, or of one event; each costs time, however small it is. */
    private static final int MAX_CHUNKS = 64 * 1_024;

    private final Route route;
    private final CallerConnection caller;
    private final HttpDialect dialect;
    private final HttpMethod requestMethod;
    private final Runnable onStreamStart;
    private final EventStreamFramer framer = new EventStreamFramer();
    private final EventBoundaryTracker boundaryTracker = new EventBoundaryTracker();
    private HttpResponse callerResponse;
    private ResponseHead head;
    /** Framing of the latest response; null before its head. */
    private BodyFraming framing;

    private boolean streamStarted;
    private boolean oversized;
    /** Chunks of the body, or since the last event boundary. */
    private int chunks;

    private ByteBuf bufferedBody;

    /**
     * Creates an assembler without a response.
     *
     * @param onStreamStart run right before the first data of a stream is written to the caller
     */
    ResponseAssembler(
            Route route,
            HttpMethod requestMethod,
            CallerConnection caller,
            HttpDialect dialect,
            Runnable onStreamStart) {
        this.onStreamStart = onStreamStart;
        this.route = route;
        this.requestMethod = requestMethod;
        this.caller = caller;
        this.dialect = dialect;
    }

    /** Handles the head of a target's response. */
    void head(HttpResponse response, ResponseHead responseHead) {
        head = responseHead;
        framing = BodyFraming.of(response, requestMethod);
        if (notExecuted()) {
            return;
        }
        boolean stream = route.kind() == RouteKind.STREAMING && success() && responseHead.signed();
        if (!streamStarted) {
            callerResponse = response;
        }
        if (!stream) {
            bufferedBody = Unpooled.buffer();
        }
    }

    /** Handles a chunk of the body; returns true when data was written to the caller. */
    boolean content(ByteBuf chunk) {
        if (bufferedBody != null) {
            bufferBody(chunk);
            return false;
        }
        if (notExecuted()) {
            chunk.release();
            return false;
        }
        int endBytes = boundaryTracker.append(chunk);
        chunks = endBytes > 0 ? 0 : chunks + 1;
        oversized = boundaryTracker.bytesSinceBoundary() > MAX_EVENT_BYTES || chunks > MAX_CHUNKS;
        if (oversized) {
            chunk.release();
            return false;
        }
        ByteBuf ready = route.resumable() ? framer.append(chunk, endBytes) : chunk;
        if (!ready.isReadable()) {
            ready.release();
            return false;
        }
        ensureStreamStarted();
        caller.writeChunk(ready);
        return true;
    }

    /** Writes the head of a stream, not before its first data, so that until then another target can replace it. */
    private void ensureStreamStarted() {
        if (!streamStarted) {
            streamStarted = true;
            onStreamStart.run();
            caller.startStream(callerResponse.status(), dialect.callerHeaders(callerResponse));
        }
    }

    private void bufferBody(ByteBuf chunk) {
        chunks++;
        oversized = oversized
                || chunks > MAX_CHUNKS
                || bufferedBody.readableBytes() + chunk.readableBytes() > Front.MAX_ANSWER_BYTES;
        if (!oversized) {
            bufferedBody.writeBytes(chunk);
        }
        chunk.release();
    }

    /** Returns whether the body, or an event of it, is longer than any that is delivered. */
    boolean isOversized() {
        return oversized;
    }

    /** Returns whether the target reported that it did not execute the request. */
    boolean notExecuted() {
        return head.notExecuted() || head.wrongTarget();
    }

    /** Returns whether a target other than the intended one responded. */
    boolean fromWrongTarget() {
        return head.wrongTarget();
    }

    /**
     * Returns whether the response can be delivered: a success is signed, the body is within the size limit, and a
     * stream that has started is not continued by a response of another kind.
     */
    boolean isDeliverable() {
        boolean unsignedSuccess = success() && !head.signed();
        return !unsignedSuccess && !oversized && !(streamStarted && bufferedBody != null);
    }

    /** Returns whether any data of an event stream was received in the latest response. */
    boolean hasStreamData() {
        return !boundaryTracker.isEmpty();
    }

    /** Returns the number of events of the latest response; 0 if it is no stream. */
    int events() {
        return boundaryTracker.events();
    }

    /** Returns the HTTP status of the latest target response; 0 before the first. */
    int status() {
        return head == null ? 0 : head.status();
    }

    /** Returns whether the head of a stream was written to the caller. */
    boolean streamStarted() {
        return streamStarted;
    }

    /** Returns whether another target can continue the response from its current position. */
    boolean canResume() {
        return !streamStarted || route.resumable() && framer.canContinue();
    }

    /** Returns the id of the last event forwarded to the caller; empty before the first. */
    Optional<String> lastEventId() {
        return framer.lastEventId();
    }

    /** Discards the buffered body and any partial event before another target responds. */
    void discardIncomplete() {
        if (bufferedBody != null) {
            bufferedBody.release();
            bufferedBody = null;
        }
        oversized = false;
        chunks = 0;
        framing = null;
        framer.discardPartialEvent();
        boundaryTracker.reset();
    }

    /** Returns how the latest response ended, with the given cause; empty when no head was received. */
    Optional<ResponseEnding> ending(String cause) {
        return Optional.ofNullable(framing)
                .map(known -> ImmutableResponseEnding.builder()
                        .framing(known)
                        .cause(cause)
                        .insideEvent(!boundaryTracker.atBoundary())
                        .build());
    }

    /** Returns whether the response told where it ends, rather than ending with its connection. */
    boolean endDeclared() {
        return framing.endDeclared();
    }

    /** Returns whether the latest response is an event stream. */
    boolean isStream() {
        return bufferedBody == null && !notExecuted();
    }

    /** Returns whether the latest response is a stream without an event, and only its connection has told its end. */
    boolean undeclaredAndEmpty() {
        return isStream() && !framing.endDeclared() && boundaryTracker.isEmpty();
    }

    /** Returns whether a stream ended inside an event, and nothing but the end of its connection told the end. */
    boolean cutInsideEvent() {
        return isStream() && !framing.endDeclared() && !boundaryTracker.atBoundary();
    }

    /**
     * Returns whether a response that ended without a failure of its connection is complete. A stream is complete only
     * at an event boundary; if only the end of the connection ended it, at least one event must have arrived.
     */
    boolean isComplete() {
        if (bufferedBody != null) {
            return true;
        }
        return boundaryTracker.atBoundary() && (framing.endDeclared() || !boundaryTracker.isEmpty());
    }

    /** Completes the response to the caller with the received data. */
    void deliver() {
        if (bufferedBody != null) {
            ByteBuf content = bufferedBody;
            bufferedBody = null;
            caller.respond(callerResponse.status(), dialect.callerHeaders(callerResponse), content);
        } else {
            ensureStreamStarted();
            caller.endStream();
        }
    }

    private boolean success() {
        return head.status() / 100 == 2;
    }
}
