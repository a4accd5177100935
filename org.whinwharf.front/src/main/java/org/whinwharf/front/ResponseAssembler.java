package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.RouteKind;

/**
 * Makes one answer for a caller out of what one target, or several after another, send.
 *
 * <p>Streams are passed on as they come; anything else is collected first, so that half an answer can still be fetched
 * elsewhere and never goes out under a success.
 */
final class ResponseAssembler {
    private final Route route;
    private final CallerConnection caller;
    private final HttpDialect dialect;
    private final EventStreamFramer framer = new EventStreamFramer();
    private HttpResponse callerResponse;
    private ResponseHead head;
    private boolean streamStarted;
    private boolean oversized;
    private CompositeByteBuf bufferedBody;

    ResponseAssembler(Route route, CallerConnection caller, HttpDialect dialect) {
        this.route = route;
        this.caller = caller;
        this.dialect = dialect;
    }

    /** Takes the head of a target's answer. */
    void head(HttpResponse response, ResponseHead read) {
        head = read;
        if (notExecuted()) {
            return;
        }
        boolean stream = route.kind() == RouteKind.STREAMING && success() && read.signed();
        if (!streamStarted) {
            callerResponse = response;
        }
        if (!stream) {
            bufferedBody = Unpooled.compositeBuffer(1024);
        } else if (!streamStarted) {
            streamStarted = true;
            caller.startStream(response.status(), dialect.callerHeaders(response));
        }
    }

    /** Takes a piece of the body; returns true when something went to the caller. */
    boolean content(ByteBuf piece) {
        if (bufferedBody != null) {
            bufferBody(piece);
            return false;
        }
        if (notExecuted()) {
            piece.release();
            return false;
        }
        ByteBuf ready = route.resumable() ? framer.append(piece) : piece;
        if (!ready.isReadable()) {
            ready.release();
            return false;
        }
        caller.writeChunk(ready);
        return true;
    }

    private void bufferBody(ByteBuf piece) {
        oversized = oversized || bufferedBody.readableBytes() + piece.readableBytes() > Front.MAX_ANSWER_BYTES;
        if (oversized) {
            piece.release();
        } else {
            bufferedBody.addComponent(true, piece);
        }
    }

    /** Tells whether the target said that it did not run the request. */
    boolean notExecuted() {
        return head.notExecuted() || head.wrongTarget();
    }

    /** Tells whether another target answered than the one that was meant. */
    boolean fromWrongTarget() {
        return head.wrongTarget();
    }

    /** Tells whether what came can be passed on: signed if a success, whole, and of a kind with what went before. */
    boolean isDeliverable() {
        boolean unsigned = success() && !head.signed();
        return !unsigned && !oversized && !(streamStarted && bufferedBody != null);
    }

    /** Returns the status of the last answer; 0 before the first. */
    int status() {
        return head == null ? 0 : head.status();
    }

    /** Tells whether the caller has got the head of a stream. */
    boolean streamStarted() {
        return streamStarted;
    }

    /** Tells whether a run at another target can go on with the answer where it stands. */
    boolean canResume() {
        return !streamStarted || route.resumable() && framer.lastEventId().isPresent();
    }

    /** Returns the last event that the caller has of the stream; empty before the first. */
    Optional<String> lastEventId() {
        return framer.lastEventId();
    }

    /** Drops what was collected, and half an event, before another target answers. */
    void discardIncomplete() {
        if (bufferedBody != null) {
            bufferedBody.release();
            bufferedBody = null;
        }
        oversized = false;
        framer.discardPartialEvent();
    }

    /** Tells whether what came ends where an event ends. */
    boolean endsAtEventBoundary() {
        return !streamStarted || !framer.hasPartialEvent();
    }

    /** Ends the caller's answer with what came. */
    void deliver() {
        if (!streamStarted) {
            ByteBuf whole = bufferedBody;
            bufferedBody = null;
            caller.respond(callerResponse.status(), dialect.callerHeaders(callerResponse), whole);
        } else {
            caller.endStream();
        }
    }

    private boolean success() {
        return head.status() / 100 == 2;
    }
}
