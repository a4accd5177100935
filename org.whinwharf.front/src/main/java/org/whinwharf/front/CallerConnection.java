package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
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
 * One connection of a caller. Handles its requests in order, each only after the response to the one before.
 *
 * <p>A malformed request is rejected and the connection closed, since the start of the next request cannot be
 * determined. Forwarding an ambiguous head would let a caller smuggle one request inside another.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Number of queued messages of pipelined requests above which reading stops; well-behaved callers send fewer. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    /** The last printable character of ASCII; others would reach the target as other bytes. */
    private static final char MAX_URI_CHARACTER = '~';

    /** Time after a response in which callers send their next request, if they have one ready. */
    private static final long NEXT_REQUEST_MILLIS = 100;

    /** Time for which the rest of a rejected request is read, so that its caller receives the response. */
    private static final long DISCARD_MILLIS = 1_000;

    private static final String CALLER_CLOSED = "caller-closed";

    private final Front front;
    private final Deque<HttpObject> queuedMessages = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest request;
    private CompositeByteBuf body;
    private CallerExchange exchange;
    private boolean closing;
    private boolean closeAfterResponse;
    /** Whether the rest of a rejected request is read and discarded. */
    private boolean discarding;

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
        HttpObject httpObject = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(httpObject);
        } else if (exchange != null) {
            queuedMessages.add(httpObject);
            if (queuedMessages.size() > MAX_QUEUED_MESSAGES) {
                channel.config().setAutoRead(false);
            }
        } else {
            process(httpObject);
        }
    }

    /** Records received bytes, to time out a request that stays incomplete. */
    void bytesReceived() {
        if (request == null && exchange == null && !receivingHead) {
            receivingHead = true;
            lastActivityMillis = front.nowMillis();
        } else if (request != null) {
            lastActivityMillis = front.nowMillis();
        }
    }

    private void process(HttpObject httpObject) {
        if (httpObject.decoderResult().isFailure()) {
            if (httpObject instanceof HttpRequest head) {
                channel.pipeline().get(CallerResponseEncoder.class).setRequestMethod(head.method());
            }
            ReferenceCountUtil.release(httpObject);
            rejectMalformed(httpObject.decoderResult().cause());
            return;
        }
        if (httpObject instanceof HttpRequest head) {
            startRequest(head);
        }
        if (httpObject instanceof HttpContent content) {
            if (closing || request == null) {
                content.release();
            } else {
                addBody(content);
            }
        }
    }

    private void startRequest(HttpRequest head) {
        receivingHead = false;
        channel.pipeline().get(CallerResponseEncoder.class).setRequestMethod(head.method());
        String invalidPart = validateHead(head);
        if (invalidPart != null) {
            reject(ErrorKind.MALFORMED, invalidPart);
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

    /** Returns the invalid part of a head; null when the head is valid. */
    private static String validateHead(HttpRequest head) {
        HttpHeaders headers = head.headers();
        List<String> transferEncodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (transferEncodings.size() > 1
                || transferEncodings.size() == 1
                        && !"chunked".equals(transferEncodings.get(0).toLowerCase(Locale.ROOT))) {
            return "transfer encoding";
        }
        if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
            return "several content lengths";
        }
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            return "host";
        }
        if (!head.uri().startsWith("/")
                || head.uri().chars().anyMatch(unit -> unit <= ' ' || unit > MAX_URI_CHARACTER)
                || head.method().equals(HttpMethod.CONNECT)) {
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
            CompositeByteBuf requestBody = body;
            request = null;
            body = null;
            closeAfterResponse = !HttpUtil.isKeepAlive(head);
            CallerExchange next = new CallerExchange(front, this, head, requestBody);
            exchange = next;
            // Not started within the read, because the start checks whether the caller has closed the connection.
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

    /** Responds to the current request with an error of this process. */
    void respond(ErrorResponse error) {
        write(toHttpResponse(error), false);
    }

    /** Responds to the current request with a complete response of a target. */
    void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(headers);
        boolean headOnly = exchange != null && exchange.method().equals(HttpMethod.HEAD);
        if (!headOnly && status.code() != 204 && status.code() != 304) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        write(response, false);
    }

    /** Starts a chunked response. */
    void startStream(HttpResponseStatus status, HttpHeaders headers) {
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        head.headers().set(headers).remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(head, true);
        if (front.plannedStop().begun() || closeAfterResponse) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        }
        channel.writeAndFlush(head);
    }

    /** Writes a chunk of the response. */
    void writeChunk(ByteBuf chunk) {
        channel.writeAndFlush(new DefaultHttpContent(chunk));
    }

    /** Completes a chunked response. */
    void endStream() {
        channel.writeAndFlush(new DefaultLastHttpContent()).addListener(done -> responseWritten());
    }

    /** Closes the connection in the middle of a response, so that the response does not look complete. */
    void abort() {
        closing = true;
        exchange = null;
        channel.close();
    }

    /**
     * Reads the pending input and returns whether the caller is still connected.
     *
     * <p>On a delayed event loop, a close stays unread in the socket while earlier events are processed. A request
     * dispatched in the meantime would run although its caller is gone. Must not be called within a read of this
     * connection.
     */
    boolean isCallerConnected() {
        if (channel.isActive()
                && channel.config().isAutoRead()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return channel.isActive();
    }

    /** Returns whether the outbound buffer is below its limit, so that more of the response can be written. */
    boolean writable() {
        return channel.isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.callerWritabilityChanged(channel.isWritable());
        }
    }

    private FullHttpResponse toHttpResponse(ErrorResponse error) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(error.kind().httpStatus()),
                Unpooled.copiedBuffer("{\"error\":\"" + error.kind().wireName() + "\"}", CharsetUtil.US_ASCII));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (error.retryAfterMillis() > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", error.retryAfterMillis() / 1e3));
        }
        return response;
    }

    private void write(FullHttpResponse response, boolean close) {
        closing = closing || close || closeAfterResponse || front.plannedStop().begun();
        if (closing) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(response).addListener(done -> responseWritten());
    }

    private void responseWritten() {
        exchange = null;
        lastActivityMillis = front.nowMillis();
        if (discarding) {
            // A close with unread input resets the connection, and the caller may not receive the response.
            ((DuplexChannel) channel).shutdownOutput();
            return;
        }
        if (closing) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel.config().setAutoRead(true);
        while (exchange == null && !closing && !queuedMessages.isEmpty()) {
            process(queuedMessages.poll());
        }
    }

    /** Rejects a request that has stayed incomplete for too long, and closes a connection that is idle for too long. */
    void checkTimeouts(long nowMillis) {
        if (exchange != null || closing) {
            return;
        }
        long idleMillis = nowMillis - lastActivityMillis;
        boolean incomplete = receivingHead || request != null;
        if (incomplete && idleMillis > front.limits().headerTimeoutMillis()) {
            if (receivingHead) {
                channel.pipeline().get(CallerResponseEncoder.class).setRequestMethod(HttpMethod.GET);
            }
            reject(ErrorKind.CALLER_TOO_SLOW, "incomplete request");
        } else if (!incomplete && idleMillis > front.limits().idleTimeoutMillis()) {
            closing = true;
            channel.close();
        }
    }

    /** Tells whether a request was begun and not received whole. */
    boolean receivingRequest() {
        return exchange == null && !closing && (request != null || receivingHead);
    }

    /** Returns the bytes of responses that the caller has not taken. */
    long unreadBytes() {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound == null ? 0 : outbound.totalPendingWriteBytes();
    }

    /**
     * Goes on with a planned stop once callers can have gone elsewhere.
     *
     * <p>An idle connection is closed if no request is likely to be on its way, as a caller whose request crosses the
     * close cannot know whether it was executed. A request that would come too late is rejected before its last byte.
     */
    void drain(long nowMillis) {
        if (idle() && nowMillis - lastActivityMillis > NEXT_REQUEST_MILLIS && isCallerConnected() && idle()) {
            closing = true;
            channel.close();
        } else if (request != null && !closing) {
            rejectIfLate();
        } else if (discarding && nowMillis - lastActivityMillis > DISCARD_MILLIS) {
            channel.close();
        }
    }

    private void rejectIfLate() {
        CallerExchange incomplete = new CallerExchange(front, this, request, body);
        if (incomplete.isLate()) {
            request = null;
            body = null;
            discarding = true;
            incomplete.rejectLate();
        }
    }

    private boolean idle() {
        return exchange == null && request == null && !receivingHead && !closing;
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
            CallerExchange abandoned = exchange;
            exchange = null;
            abandoned.callerDisconnected(closeCause);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeCause = String.valueOf(cause);
        channel.close();
    }
}
