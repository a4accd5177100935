package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * One connection to a target; it carries one request at a time.
 *
 * <p>A response that declares no end and ends with the connection is complete only if its target lives on: a process
 * that is killed has its connections closed in the same way. If the request has a body, the response is incomplete as
 * well if the target has left a part of it unread: the end comes before the request is written, or a reset follows it.
 *
 * <p>Targets may send a response twice, late, truncated or not at all. What arrives while no request is under way
 * belongs to none, and closes the connection. After that only the bytes tell what they belong to: a response that
 * carries the id of another attempt is skipped, and so is one that names no attempt where the target names its
 * responses ({@link AttemptNaming}). After any irregularity the connection is closed once the response is complete, so
 * that no stray byte can be read as the response to the next request.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Keep-alive time assumed for a target that does not announce one. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 2_000;
    /** Time before the end of the keep-alive time at which a connection expires, lest a request cross its close. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

    /** Maximum number of interim responses, and of responses to other attempts, before the one to the request. */
    private static final int MAX_SKIPPED_RESPONSES = 32;

    /** Maximum time for which bytes are on their way, or wait to be read. */
    private static final long MAX_TRANSIT_MILLIS = 100;

    /** Maximum time for which bytes are on their way if the system of their sender has to send them again. */
    private static final long MAX_RETRANSMISSION_MILLIS = 500;

    private enum Phase {
        IDLE,
        AWAITING_HEAD,
        READING_BODY,
        /** The target has ended the connection, and perhaps the response. */
        CHECKING_END,
        CLOSED
    }

    private final HttpDialect dialect;
    private final TargetConnectionPool pool;
    private final TargetLink link;
    private Channel channel;
    private TargetAnswerDecoder decoder;
    private Phase phase = Phase.IDLE;
    private TargetListener listener;
    private String attemptId = "";
    /** Whether the current request has a body, which the target may leave unread. */
    private boolean requestHasBody;

    private ChannelFuture written;
    private HttpMethod requestMethod = HttpMethod.GET;
    /** Framing of the current response; null before its head. */
    private BodyFraming framing;

    private int carriedRequests;
    private int skippedResponses;
    /** Whether a response that does not answer the request is being discarded. */
    private boolean discarding;
    /** Kinds of the responses that the connection has carried. */
    private final Set<ResponseKind> carriedKinds = EnumSet.noneOf(ResponseKind.class);

    private boolean reusable = true;
    private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;
    private final long openedAtMillis;
    private long establishedAtMillis = Long.MAX_VALUE;
    private long idleSinceMillis;
    private long pausedAtMillis = Long.MAX_VALUE;
    private long firstByteAtMillis = Long.MAX_VALUE;
    private long lastByteAtMillis = Long.MIN_VALUE;

    TargetConnection(HttpDialect dialect, TargetConnectionPool pool, TargetLink link) {
        super(HttpObject.class);
        this.dialect = dialect;
        this.pool = pool;
        this.link = link;
        openedAtMillis = pool.nowMillis();
        idleSinceMillis = openedAtMillis;
    }

    /** Returns the monotonic time in milliseconds at which the connection was opened. */
    long openedAtMillis() {
        return openedAtMillis;
    }

    /** Records that the target has accepted the connection. */
    void established() {
        establishedAtMillis = pool.nowMillis();
    }

    /** Returns the monotonic time in milliseconds at which the target is known to have accepted the connection. */
    long establishedAtMillis() {
        return establishedAtMillis;
    }

    /** Returns the name of the peer that relays the connection; empty for a direct one. */
    String peerName() {
        return link.peerName();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        decoder = channel.pipeline().get(TargetAnswerDecoder.class);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (link.peerName().isEmpty()) {
            pool.opened(this);
        }
        context.fireChannelActive();
    }

    /**
     * Tells whether the target has sent bytes over the connection before the given period and after it, by more than
     * they, or a report of the period, may have been on their way.
     */
    boolean spans(long fromMillis, long toMillis) {
        return firstByteAtMillis < fromMillis - MAX_TRANSIT_MILLIS && lastByteAtMillis > toMillis + MAX_TRANSIT_MILLIS;
    }

    /** Sends a request; with an empty attempt id, it is answered by a response that names no attempt. */
    void send(HttpRequest request, ByteBuf body, String id, TargetListener responseListener) {
        listener = responseListener;
        attemptId = id;
        phase = Phase.AWAITING_HEAD;
        pausedAtMillis = Long.MAX_VALUE;
        carriedRequests++;
        skippedResponses = 0;
        discarding = false;
        requestHasBody = body.isReadable();
        if (requestHasBody || HttpUtil.isContentLengthSet(request)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        requestMethod = request.method();
        decoder.expectResponse(requestMethod);
        if (request.method().equals(HttpMethod.HEAD)) {
            // A second copy of its response has no body either, whatever the next request is.
            reusable = false;
        }
        channel.write(request);
        if (requestHasBody) {
            channel.write(new DefaultHttpContent(body.retainedDuplicate()));
        }
        written = channel.writeAndFlush(new DefaultLastHttpContent());
    }

    /** Closes the connection and cancels the current request without notifying its listener. */
    void cancel() {
        listener = null;
        close();
    }

    /** Pauses or resumes reading, as the caller's connection becomes unwritable or writable. */
    void setReading(boolean on) {
        if (!on && channel.config().isAutoRead()) {
            pausedAtMillis = Math.min(pausedAtMillis, pool.nowMillis());
        }
        channel.config().setAutoRead(on);
    }

    /**
     * Returns the monotonic time in milliseconds since which the end of the connection may have gone unread, as reading
     * was paused for the current response; {@link Long#MAX_VALUE} if it never was.
     */
    long pausedAtMillis() {
        return pausedAtMillis;
    }

    /** Tells whether the connection has been idle for longer than the target's keep-alive time, less a margin. */
    boolean stale(long nowMillis) {
        return nowMillis - idleSinceMillis > Math.max(0, keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS);
    }

    /** Returns the idle time of the connection in milliseconds. */
    long idleMillis(long nowMillis) {
        return nowMillis - idleSinceMillis;
    }

    /** Tells whether the way to the target can be used for a further request. */
    boolean linkUsable() {
        return link.usable();
    }

    /** Tells whether the connection is open and carries no request. */
    boolean usable() {
        return phase == Phase.IDLE && !link.inputEnded() && link.usable() && decoder.isBetweenResponses();
    }

    /**
     * Tells whether neither side has ended the connection, with no bytes of a response under way behind which an end
     * would be noticed late.
     */
    boolean open() {
        return channel.config().isAutoRead()
                && (phase == Phase.IDLE || phase == Phase.AWAITING_HEAD)
                && !link.inputEnded();
    }

    void close() {
        phase = Phase.CLOSED;
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        lastByteAtMillis = pool.nowMillis();
        firstByteAtMillis = Math.min(firstByteAtMillis, lastByteAtMillis);
        if (channel.isActive() && link.peerName().isEmpty()) {
            // The decoder also ends a response as the connection closes, and a peer may have held what it relays.
            pool.servedBy(this, Math.min(lastByteAtMillis, pausedAtMillis) - MAX_RETRANSMISSION_MILLIS);
        }
        if (phase == Phase.CHECKING_END) {
            return;
        }
        if (phase == Phase.IDLE) {
            closeForUnrequestedBytes();
            return;
        }
        if (phase == Phase.CLOSED) {
            close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            if (discarding) {
                discardResponse();
            } else {
                fail(TargetFailure.GARBLED);
            }
            return;
        }
        if (message instanceof HttpResponse response) {
            head(response);
        }
        if (message instanceof HttpContent content) {
            body(content);
        }
    }

    /** Closes an idle connection over which a part of a response has arrived, which can belong to no request. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (phase == Phase.IDLE && !decoder.isBetweenResponses()) {
            closeForUnrequestedBytes();
        }
        context.fireChannelReadComplete();
    }

    private void closeForUnrequestedBytes() {
        pool.responseUnmatched(UnmatchedResponse.UNREQUESTED, "", 0, "", carriedRequests);
        close();
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skip();
            return;
        }
        ResponseHead answer = dialect.readResponse(response);
        answer.keepAliveMillis().ifPresent(millis -> keepAliveMillis = millis);
        if (decoder.discardedBytes() > 0 && !discarding) {
            unmatched(UnmatchedResponse.CUT_OFF, answer);
            reusable = false;
        }
        if (!answersRequest(answer)) {
            reusable = false;
            discarding = true;
            discardResponse();
            return;
        }
        if (!HttpUtil.isKeepAlive(response)) {
            reusable = false;
        }
        discarding = false;
        phase = Phase.READING_BODY;
        framing = BodyFraming.of(response, requestMethod);
        listener.head(response, answer);
    }

    /** Tells whether a response answers the request under way, as far as its head shows. */
    private boolean answersRequest(ResponseHead answer) {
        ResponseKind kind = ResponseKind.of(answer);
        if (!answer.attemptId().isEmpty()) {
            boolean own = answer.attemptId().equals(attemptId);
            if (own) {
                pool.naming().recordNamed(kind);
                carriedKinds.add(kind);
                reusable &= pool.naming().alwaysNames(kind);
            } else {
                unmatched(UnmatchedResponse.OTHER_ATTEMPT, answer);
            }
            return own;
        }
        // A second copy of it could not be told from the answer to the next request.
        reusable = false;
        if (attemptId.isEmpty()) {
            return true;
        }
        unmatched(UnmatchedResponse.UNNAMED, answer);
        boolean first = carriedRequests == 1 && !discarding;
        boolean fromTarget = answer.signed() || kind == ResponseKind.REJECTION;
        if (first && fromTarget) {
            pool.naming().recordUnnamed(kind);
        }
        boolean readWhole = !discarding || kind == ResponseKind.REJECTION;
        return first || readWhole && pool.naming().mayOmit(kind, carriedKinds);
    }

    private void unmatched(UnmatchedResponse reason, ResponseHead answer) {
        pool.responseUnmatched(reason, attemptId, answer.status(), answer.attemptId(), carriedRequests);
    }

    private void discardResponse() {
        decoder.discardResponse();
        skip();
    }

    private void skip() {
        skippedResponses++;
        if (skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail(TargetFailure.GARBLED);
        }
    }

    private void body(HttpContent content) {
        if (phase != Phase.READING_BODY) {
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (content.content().isReadable()) {
            listener.content(content.content().retain());
            if (!framing.endDeclared()) {
                // Not if the response ends within this read, as a short one does.
                channel.eventLoop().execute(this::openSecondConnection);
            }
        }
        if (last && phase == Phase.READING_BODY) {
            if (!channel.isActive()) {
                // The decoder ends a response without a declared end also when the connection fails. After an end of
                // input the channel is still active.
                fail(link.lossCause());
                return;
            }
            if (framing.endDeclared()) {
                finish();
            } else if (!written.isDone()) {
                // The target has not read the request that it answers.
                fail(TargetFailure.CLOSED);
            } else {
                checkEnd();
            }
        }
    }

    private void finish() {
        TargetListener current = listener;
        listener = null;
        boolean sent = written.isDone() && written.isSuccess();
        boolean othersFollow = !decoder.isBetweenResponses();
        if (othersFollow) {
            pool.responseUnmatched(UnmatchedResponse.UNREQUESTED, "", 0, "", carriedRequests);
        }
        if (reusable && sent && !link.inputEnded() && !othersFollow) {
            phase = Phase.IDLE;
            idleSinceMillis = pool.nowMillis();
            channel.config().setAutoRead(true);
            pool.release(this);
        } else {
            close();
        }
        current.complete();
    }

    private void openSecondConnection() {
        if (phase == Phase.READING_BODY) {
            pool.ensureSecondConnection(this);
        }
    }

    /**
     * Holds the end of a response that only its connection has ended, until it is known whether the target lives on and
     * has read the request.
     */
    private void checkEnd() {
        phase = Phase.CHECKING_END;
        pool.checkLiveness(this, attemptId, liveness -> channel.eventLoop().execute(() -> endChecked(liveness)));
        if (!requestHasBody) {
            // Otherwise it stays open for the check, since a closed socket shows no reset.
            channel.close();
        }
    }

    private void endChecked(TargetLiveness liveness) {
        if (!liveness.shown()) {
            endResponse(Optional.of(TargetFailure.CLOSED));
        } else if (requestHasBody) {
            link.checkReset(reset -> endResponse(reset ? Optional.of(TargetFailure.RESET) : Optional.empty()));
        } else {
            endResponse(Optional.empty());
        }
    }

    private void endResponse(Optional<TargetFailure> failure) {
        TargetListener current = listener;
        listener = null;
        close();
        if (current == null) {
            // The request was cancelled meanwhile.
            return;
        }
        failure.ifPresentOrElse(current::failed, current::complete);
    }

    private void fail(TargetFailure failure) {
        if (phase == Phase.CHECKING_END) {
            return;
        }
        TargetListener current = listener;
        listener = null;
        close();
        if (current != null) {
            current.failed(failure);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause instanceof DecoderException ? TargetFailure.GARBLED : link.lossCause());
    }

    /** Handles the end of input; the decoder has already delivered a response that lasts until then. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail(TargetFailure.CLOSED);
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        fail(link.lossCause());
    }
}
