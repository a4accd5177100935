package org.whinwharf.entry.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;
import java.io.IOException;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;

/**
 * Remembers why a caller's connection closed, so that an answer that is cut off with it can be explained.
 *
 * <p>Stands next to the transport: a close that passes here was asked for by this process, and a connection that
 * becomes inactive without one was closed by the caller or by the network.
 */
final class CloseCause extends ChannelDuplexHandler {
    /** The caller closed the connection in an orderly way. */
    static final String CALLER = "caller-closed";
    /** The connection broke, such as by a reset. */
    static final String NETWORK = "connection-broke";
    /** This process closed a connection on which nothing happened. */
    static final String IDLE = "idle";
    /** This process closed a connection whose request did not arrive whole in time. */
    static final String REQUEST_LATE = "request-late";
    /** This process closed a connection above its bound on them. */
    static final String TOO_MANY = "too-many-connections";
    /** This process ended before the answer did. */
    static final String STOPPED = "process-stopped";
    /** Bytes of an answer could not be written to a connection that was open. */
    static final String WRITE_FAILED = "write-failed";
    /** The HTTP server of this process closed the connection, for a reason that it did not tell. */
    static final String SERVER = "server-closed";
    /** The HTTP server stopped taking the answer although the connection is open. */
    static final String CANCELLED = "server-cancelled";

    private static final AttributeKey<String> CAUSE = AttributeKey.valueOf(CloseCause.class, "cause");

    /** Notes why a connection is about to close; the first cause stays. */
    static void note(Channel channel, String cause) {
        channel.attr(CAUSE).setIfAbsent(cause);
    }

    /** Returns why a connection closed. */
    static String of(Channel channel) {
        String noted = channel.attr(CAUSE).get();
        return noted == null ? CALLER : noted;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        // The server writes with a promise that takes no listeners, so another one stands in.
        super.write(context, message, promise.unvoid().addListener(written -> {
            if (!written.isSuccess() && context.channel().isActive()) {
                writeFailed(context.channel(), written.cause());
            }
        }));
    }

    /** The rest of the answer can't be sent any more, although the answer's publisher may have ended already. */
    private static void writeFailed(Channel channel, Throwable failure) {
        String cause = WRITE_FAILED + ": " + failure;
        if (channel.attr(CAUSE).setIfAbsent(cause) == null) {
            EventLog.event(LogEvent.ANSWER_CUT).with(EventField.REASON, cause).call();
        }
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        note(context.channel(), SERVER);
        super.close(context, promise);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) throws Exception {
        if (failure instanceof IOException) {
            note(context.channel(), NETWORK + ": " + failure);
        }
        super.exceptionCaught(context, failure);
    }
}
