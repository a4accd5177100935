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
    private final EventStreamRelay relay = new EventStreamRelay();
    private HttpResponse answer;
    private ResponseHead head;
    private boolean streamBegun;
    private boolean tooLong;
    private CompositeByteBuf collected;

    ResponseAssembler(Route route, CallerConnection caller, HttpDialect dialect) {
        this.route = route;
        this.caller = caller;
        this.dialect = dialect;
    }

    /** Takes the head of a target's answer. */
    void head(HttpResponse response, ResponseHead read) {
        head = read;
        if (refused()) {
            return;
        }
        boolean stream = route.kind() == RouteKind.STREAMING && success() && read.signed();
        if (!streamBegun) {
            answer = response;
        }
        if (!stream) {
            collected = Unpooled.compositeBuffer(1024);
        } else if (!streamBegun) {
            streamBegun = true;
            caller.beginStream(response.status(), dialect.callerHeaders(response));
        }
    }

    /** Takes a piece of the body; returns true when something went to the caller. */
    boolean content(ByteBuf piece) {
        if (collected != null) {
            collect(piece);
            return false;
        }
        if (refused()) {
            piece.release();
            return false;
        }
        ByteBuf ready = route.resumable() ? relay.accept(piece) : piece;
        if (!ready.isReadable()) {
            ready.release();
            return false;
        }
        caller.stream(ready);
        return true;
    }

    private void collect(ByteBuf piece) {
        tooLong = tooLong || collected.readableBytes() + piece.readableBytes() > Front.MAX_ANSWER_BYTES;
        if (tooLong) {
            piece.release();
        } else {
            collected.addComponent(true, piece);
        }
    }

    /** Tells whether the target said that it did not run the request. */
    boolean refused() {
        return head.notExecuted() || head.wrongTarget();
    }

    /** Tells whether another target answered than the one that was meant. */
    boolean fromOtherTarget() {
        return head.wrongTarget();
    }

    /** Tells whether what came can be passed on: signed if a success, whole, and of a kind with what went before. */
    boolean proper() {
        boolean unsigned = success() && !head.signed();
        return !unsigned && !tooLong && !(streamBegun && collected != null);
    }

    /** Returns the status of the last answer; 0 before the first. */
    int status() {
        return head == null ? 0 : head.status();
    }

    /** Tells whether the caller has got the head of a stream. */
    boolean streamBegun() {
        return streamBegun;
    }

    /** Tells whether a run at another target can go on with the answer where it stands. */
    boolean canGoOn() {
        return !streamBegun || route.resumable() && relay.lastEventId().isPresent();
    }

    /** Returns the last event that the caller has of the stream; empty before the first. */
    Optional<String> lastEventId() {
        return relay.lastEventId();
    }

    /** Drops what was collected, and half an event, before another target answers. */
    void reset() {
        if (collected != null) {
            collected.release();
            collected = null;
        }
        tooLong = false;
        relay.reset();
    }

    /** Tells whether what came ends where an event ends. */
    boolean endsWhole() {
        return !streamBegun || !relay.holdsPartOfEvent();
    }

    /** Ends the caller's answer with what came. */
    void deliver() {
        if (!streamBegun) {
            ByteBuf whole = collected;
            collected = null;
            caller.answer(answer.status(), dialect.callerHeaders(answer), whole);
        } else {
            caller.endStream();
        }
    }

    private boolean success() {
        return head.status() / 100 == 2;
    }
}
