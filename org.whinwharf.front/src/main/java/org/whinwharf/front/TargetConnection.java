package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One connection to a target; it carries one request at a time.
 *
 * <p>Targets may send an answer twice, late, cut short or not at all. An answer is taken only if it names the attempt
 * that is under way; after anything odd the connection is closed once the answer is in, so that no stray byte can ever
 * be read as the next request's answer.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Idle time assumed where a target does not say how long it keeps a connection. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 2_000;
    /** Closed this much before the target would, so that a request does not cross its close. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

    private enum Phase {
        IDLE,
        AWAITING_HEAD,
        READING_BODY,
        SKIPPING_BODY,
        CLOSED
    }

    private final HttpDialect dialect;
    private final TargetConnectionPool pool;
    private Channel channel;
    private Phase phase = Phase.IDLE;
    private TargetListener listener;
    private String attemptId = "";
    private ChannelFuture written;
    private boolean reusable = true;
    private boolean broken;
    private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;
    private long idleSinceMillis;

    TargetConnection(HttpDialect dialect, TargetConnectionPool pool) {
        super(HttpObject.class);
        this.dialect = dialect;
        this.pool = pool;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request; an empty attempt id takes any answer. */
    void send(HttpRequest request, ByteBuf body, String id, TargetListener follower) {
        listener = follower;
        attemptId = id;
        phase = Phase.AWAITING_HEAD;
        if (body.isReadable() || HttpUtil.isContentLengthSet(request)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        channel.pipeline().get(TargetAnswerDecoder.class).setRequestMethod(request.method());
        channel.write(request);
        if (body.isReadable()) {
            channel.write(new DefaultHttpContent(body.retainedDuplicate()));
        }
        written = channel.writeAndFlush(new DefaultLastHttpContent());
    }

    /** Closes the connection and with it the request under way, without a word to its listener. */
    void cancel() {
        listener = null;
        close();
    }

    /** Stops or goes on reading, as the caller's connection can take more. */
    void setReading(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** Tells whether the connection has been idle for longer than a target keeps it. */
    boolean stale(long nowMillis) {
        return nowMillis - idleSinceMillis > Math.max(0, keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS);
    }

    /** Returns how long the connection has been idle. */
    long idleMillis(long nowMillis) {
        return nowMillis - idleSinceMillis;
    }

    /** Tells whether the connection is open and free. */
    boolean usable() {
        return phase == Phase.IDLE && channel.isActive();
    }

    void close() {
        phase = Phase.CLOSED;
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (phase == Phase.IDLE || phase == Phase.CLOSED) {
            close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(TargetFailure.GARBLED);
            return;
        }
        if (message instanceof HttpResponse response) {
            head(response);
        }
        if (message instanceof HttpContent content) {
            body(content);
        }
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            phase = Phase.SKIPPING_BODY;
            return;
        }
        ResponseHead answer = dialect.readResponse(response);
        if (!HttpUtil.isKeepAlive(response)) {
            reusable = false;
        }
        answer.keepAliveMillis().ifPresent(millis -> keepAliveMillis = millis);
        boolean another = !attemptId.isEmpty()
                && !answer.attemptId().isEmpty()
                && !answer.attemptId().equals(attemptId);
        if (another) {
            reusable = false;
            phase = Phase.SKIPPING_BODY;
            return;
        }
        phase = Phase.READING_BODY;
        listener.head(response, answer);
    }

    private void body(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (phase == Phase.SKIPPING_BODY) {
            if (last) {
                phase = Phase.AWAITING_HEAD;
            }
            return;
        }
        if (phase != Phase.READING_BODY) {
            return;
        }
        if (content.content().isReadable()) {
            listener.content(content.content().retain());
        }
        if (last && phase == Phase.READING_BODY) {
            if (broken) {
                fail(TargetFailure.CLOSED);
                return;
            }
            finish();
        }
    }

    private void finish() {
        TargetListener follower = listener;
        listener = null;
        if (reusable && written.isDone() && written.isSuccess() && channel.isActive()) {
            phase = Phase.IDLE;
            idleSinceMillis = pool.nowMillis();
            channel.config().setAutoRead(true);
            pool.release(this);
        } else {
            close();
        }
        follower.complete();
    }

    private void fail(TargetFailure failure) {
        TargetListener follower = listener;
        listener = null;
        close();
        if (follower != null) {
            follower.failed(failure);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = true;
        fail(TargetFailure.CLOSED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        fail(TargetFailure.CLOSED);
    }
}
