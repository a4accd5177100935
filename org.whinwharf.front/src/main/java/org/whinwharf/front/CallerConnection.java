package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.CharsetUtil;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import org.whinwharf.errors.ErrorKind;

/**
 * One connection of a caller: requests one after another, each answered before the next is looked at.
 *
 * <p>What is not a well-formed request is answered and the connection closed, since nobody can tell where the next
 * request would begin; passing a doubtful head on would let one caller hide a request inside another.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Messages of later requests kept while one is under way; more than any proper caller sends ahead. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    private static final String CALLER_CLOSED = "caller-closed";

    private final Front front;
    private final Deque<HttpObject> queuedMessages = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest request;
    private CompositeByteBuf body;
    private CallerExchange exchange;
    private boolean closing;
    private boolean closeAfterResponse;
    private long lastActivityMillis;
    private boolean receivingHead;
    private String closeCause = CALLER_CLOSED;

    CallerConnection(Front front) {
        this.front = front;
        lastActivityMillis = front.nowMillis();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        front.connectionOpened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(part);
        } else if (exchange != null) {
            queuedMessages.add(part);
            if (queuedMessages.size() > MAX_QUEUED_MESSAGES) {
                channel.config().setAutoRead(false);
            }
        } else {
            process(part);
        }
    }

    /** Notes bytes of a head that is not complete yet. */
    void bytesReceived() {
        if (request == null && exchange == null && !receivingHead) {
            receivingHead = true;
            lastActivityMillis = front.nowMillis();
        } else if (request != null) {
            lastActivityMillis = front.nowMillis();
        }
    }

    private void process(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            rejectMalformed(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest head) {
            startRequest(head);
        }
        if (part instanceof HttpContent content) {
            if (closing || request == null) {
                content.release();
            } else {
                addBody(content);
            }
        }
    }

    private void startRequest(HttpRequest head) {
        receivingHead = false;
        String fault = validateHead(head);
        if (fault != null) {
            reject(ErrorKind.MALFORMED, fault);
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > front.limits().maxBodyBytes()) {
            reject(ErrorKind.BODY_TOO_LARGE, "content length");
            return;
        }
        request = head;
        body = Unpooled.compositeBuffer(1024);
        lastActivityMillis = front.nowMillis();
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private static String validateHead(HttpRequest head) {
        HttpHeaders headers = head.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.size() > 1
                || codings.size() == 1 && !"chunked".equals(codings.get(0).toLowerCase(Locale.ROOT))) {
            return "transfer encoding";
        }
        if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
            return "several content lengths";
        }
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            return "host";
        }
        if (!head.uri().startsWith("/") || head.method().equals(HttpMethod.CONNECT)) {
            return "request target";
        }
        return null;
    }

    private void addBody(HttpContent content) {
        if (body.readableBytes() + content.content().readableBytes()
                > front.limits().maxBodyBytes()) {
            content.release();
            reject(ErrorKind.BODY_TOO_LARGE, "body");
            return;
        }
        body.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            HttpRequest head = request;
            CompositeByteBuf whole = body;
            request = null;
            body = null;
            closeAfterResponse = !HttpUtil.isKeepAlive(head);
            CallerExchange next = new CallerExchange(front, this, head, whole);
            exchange = next;
            // Not from within the read: what follows looks whether the caller has closed the connection since.
            channel.eventLoop().execute(() -> start(next));
        }
    }

    private void start(CallerExchange next) {
        if (exchange == next) {
            next.start();
        }
    }

    private void rejectMalformed(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        reject(tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED, String.valueOf(cause));
    }

    private void reject(ErrorKind kind, String reason) {
        FrontLog.malformed(kind, reason);
        if (body != null) {
            body.release();
            body = null;
        }
        request = null;
        closing = true;
        write(toHttpResponse(new ErrorResponse(kind, 0)), true);
    }

    /** Answers the request under way with a failure of this process. */
    void respond(ErrorResponse refusal) {
        write(toHttpResponse(refusal), false);
    }

    /** Answers the request under way with a whole answer of a target. */
    void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
        FullHttpResponse full = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        full.headers().set(headers);
        boolean headOnly = exchange != null && exchange.method().equals(HttpMethod.HEAD);
        if (!headOnly && status.code() != 204 && status.code() != 304) {
            full.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        write(full, false);
    }

    /** Begins an answer that goes on piece by piece. */
    void startStream(HttpResponseStatus status, HttpHeaders headers) {
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        head.headers().set(headers).remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(head, true);
        if (front.leaving() || closeAfterResponse) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        }
        channel.writeAndFlush(head);
    }

    /** Passes on a piece of the answer. */
    void writeChunk(ByteBuf piece) {
        channel.writeAndFlush(new DefaultHttpContent(piece));
    }

    /** Ends an answer that went on piece by piece. */
    void endStream() {
        channel.writeAndFlush(new DefaultLastHttpContent()).addListener(done -> responseWritten());
    }

    /** Ends the connection in the middle of an answer, so that it cannot look whole. */
    void abort() {
        closing = true;
        exchange = null;
        channel.close();
    }

    /**
     * Reads what has arrived and tells whether the caller is still there.
     *
     * <p>On a thread that is late, a close waits in the socket while what came before it is worked on; a request sent
     * on meanwhile would run for nobody. Must not be called from within a read of this connection.
     */
    boolean isCallerConnected() {
        if (channel.isActive()
                && channel.config().isAutoRead()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return channel.isActive();
    }

    /** Tells whether the caller reads as fast as the answer comes. */
    boolean writable() {
        return channel.isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.callerWritabilityChanged(channel.isWritable());
        }
    }

    private FullHttpResponse toHttpResponse(ErrorResponse refusal) {
        FullHttpResponse full = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(refusal.kind().httpStatus()),
                Unpooled.copiedBuffer("{\"error\":\"" + refusal.kind().wireName() + "\"}", CharsetUtil.US_ASCII));
        full.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        full.headers().set(HttpHeaderNames.CONTENT_LENGTH, full.content().readableBytes());
        if (refusal.retryAfterMillis() > 0) {
            full.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", refusal.retryAfterMillis() / 1e3));
        }
        return full;
    }

    private void write(FullHttpResponse full, boolean close) {
        closing = closing || close || closeAfterResponse || front.leaving();
        if (closing) {
            full.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(full).addListener(done -> responseWritten());
    }

    private void responseWritten() {
        exchange = null;
        lastActivityMillis = front.nowMillis();
        if (closing) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel.config().setAutoRead(true);
        while (exchange == null && !closing && !queuedMessages.isEmpty()) {
            process(queuedMessages.poll());
        }
    }

    /** Closes a connection that has been idle, or whose request has been incomplete, for too long. */
    void checkTimeouts(long nowMillis) {
        if (exchange != null || closing) {
            return;
        }
        long quietMillis = nowMillis - lastActivityMillis;
        boolean incomplete = receivingHead || request != null;
        if (incomplete && quietMillis > front.limits().headerTimeoutMillis()) {
            reject(ErrorKind.CALLER_TOO_SLOW, "incomplete request");
        } else if (!incomplete && quietMillis > front.limits().idleTimeoutMillis()) {
            closing = true;
            channel.close();
        }
    }

    /** Closes the connection if no request is under way on it. */
    void closeIfIdle() {
        if (exchange == null && request == null && !receivingHead && !closing) {
            closing = true;
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        front.connectionClosed(this);
        queuedMessages.forEach(ReferenceCountUtil::release);
        queuedMessages.clear();
        if (body != null) {
            body.release();
            body = null;
        }
        if (exchange != null) {
            CallerExchange left = exchange;
            exchange = null;
            left.callerDisconnected(closeCause);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeCause = String.valueOf(cause);
        channel.close();
    }
}
