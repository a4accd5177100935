package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Times out a response whose first byte is late, that stalls, or that takes too long in total.
 *
 * <p>A response that keeps arriving is not limited in size. A short limit on the whole transfer would make a host with
 * a slow link discard what it received and request all of it again, endlessly.
 */
public final class ResponseTimeout {
    /** Time without a received byte after which a response that has started counts as lost. */
    private static final long IDLE_TIMEOUT_MILLIS = 1_000;
    /** Maximum duration of a response that keeps arriving; another source may be faster by then. */
    private static final long TOTAL_TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup loop;
    private ScheduledFuture<?> pendingCheck;
    private Runnable timeoutAction;
    private long startedAtNanos;
    private long lastByteAtNanos;
    private long receivedBytes;

    /**
     * Creates a timeout that is not started.
     *
     * @param loop event loop that runs the checks and on which all methods are called
     */
    public ResponseTimeout(EventLoopGroup loop) {
        this.loop = loop;
    }

    /**
     * Starts the timeout of a response.
     *
     * @param firstByteMillis maximum time until the first byte, in milliseconds
     * @param action run once when the response times out; not run after {@link #cancel()}
     */
    public void start(long firstByteMillis, Runnable action) {
        timeoutAction = action;
        startedAtNanos = System.nanoTime();
        receivedBytes = 0;
        pendingCheck = loop.schedule(this::checkProgress, firstByteMillis, TimeUnit.MILLISECONDS);
    }

    /** Cancels the timeout. */
    public void cancel() {
        if (pendingCheck != null) {
            pendingCheck.cancel(false);
            pendingCheck = null;
        }
    }

    /**
     * Returns whether a response has started and the timeout is still active.
     *
     * @return true from the first received byte until cancellation or timeout
     */
    public boolean isReceiving() {
        return pendingCheck != null && receivedBytes > 0;
    }

    /**
     * Returns the size of the response so far.
     *
     * @return bytes received since the start
     */
    public long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Returns the time since the start.
     *
     * @return milliseconds
     */
    public long elapsedMillis() {
        return millisSince(startedAtNanos);
    }

    /**
     * Creates a handler that reports a connection's received bytes to this timeout.
     *
     * @return handler, to be the first of the connection's pipeline
     */
    public ChannelHandler handler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                receivedBytes += ((ByteBuf) message).readableBytes();
                lastByteAtNanos = System.nanoTime();
                context.fireChannelRead(message);
            }
        };
    }

    private void checkProgress() {
        long remainingMillis = receivedBytes == 0
                ? 0
                : Math.min(
                        IDLE_TIMEOUT_MILLIS - millisSince(lastByteAtNanos),
                        TOTAL_TIMEOUT_MILLIS - millisSince(startedAtNanos));
        if (remainingMillis > 0) {
            pendingCheck = loop.schedule(this::checkProgress, remainingMillis, TimeUnit.MILLISECONDS);
            return;
        }
        pendingCheck = null;
        timeoutAction.run();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
