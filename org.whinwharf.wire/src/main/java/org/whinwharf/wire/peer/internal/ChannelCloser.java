package org.whinwharf.wire.peer.internal;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.concurrent.TimeUnit;

/** Closes connections after their queued data has been written. */
final class ChannelCloser {
    private static final long FLUSH_TIMEOUT_MILLIS = 2_000;

    private ChannelCloser() {}

    /**
     * Closes a connection once its queued data has been written, or after two seconds if the remote side does not read.
     *
     * @param channel the connection
     */
    static void closeAfterFlush(Channel channel) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        var timeout = channel.eventLoop().schedule(() -> channel.close(), FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> timeout.cancel(false));
    }
}
