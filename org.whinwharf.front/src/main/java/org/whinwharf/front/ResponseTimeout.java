package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Ends the wait for an answer when its first byte is late or its bytes stop coming.
 *
 * <p>An answer that keeps coming is waited for, whatever its size: a limit on the whole of it would have a host with a
 * small link throw away what it has and ask for all of it again, for ever.
 */
public final class ResponseTimeout {
    /** Time without a byte after which an answer that has begun counts as lost. */
    private static final long IDLE_TIMEOUT_MILLIS = 1_000;
    /** Longest time for an answer that keeps coming; another source may then be faster. */
    private static final long TOTAL_TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup loop;
    private ScheduledFuture<?> pendingCheck;
    private Runnable timeoutAction;
    private long startedAtNanos;
    private long lastByteAtNanos;
    private long receivedBytes;

    /**
     * Creates a timeout that waits for nothing.
     *
     * @param loop the thread on which everything about the answer runs
     */
    public ResponseTimeout(EventLoopGroup loop) {
        this.loop = loop;
    }

    /**
     * Begins to wait for an answer.
     *
     * @param firstByteMillis time in milliseconds within which its first byte must come
     * @param action run once when the answer is late; not after {@link #cancel()}
     */
    public void start(long firstByteMillis, Runnable action) {
        timeoutAction = action;
        startedAtNanos = System.nanoTime();
        receivedBytes = 0;
        pendingCheck = loop.schedule(this::checkProgress, firstByteMillis, TimeUnit.MILLISECONDS);
    }

    /** Ends the wait. */
    public void cancel() {
        if (pendingCheck != null) {
            pendingCheck.cancel(false);
            pendingCheck = null;
        }
    }

    /**
     * Tells whether an answer has begun and is waited for.
     *
     * @return true between its first byte and its end
     */
    public boolean isReceiving() {
        return pendingCheck != null && receivedBytes > 0;
    }

    /**
     * Returns the bytes of the answer so far.
     *
     * @return bytes since the wait began
     */
    public long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Returns the time since the wait began.
     *
     * @return milliseconds
     */
    public long elapsedMillis() {
        return millisSince(startedAtNanos);
    }

    /**
     * Creates what tells this timeout of a connection's bytes.
     *
     * @return handler for the beginning of the connection's pipeline
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
        long leftMillis = receivedBytes == 0
                ? 0
                : Math.min(
                        IDLE_TIMEOUT_MILLIS - millisSince(lastByteAtNanos),
                        TOTAL_TIMEOUT_MILLIS - millisSince(startedAtNanos));
        if (leftMillis > 0) {
            pendingCheck = loop.schedule(this::checkProgress, leftMillis, TimeUnit.MILLISECONDS);
            return;
        }
        pendingCheck = null;
        timeoutAction.run();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
