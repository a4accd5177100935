package org.whinwharf.entry.internal;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.Optional;

/**
 * Notices that the connection of a request closes.
 *
 * <p>The server cancels an answer only when it fails to write it. Until the first event there is nothing to write, so
 * without this a request would wait, and run, for a caller that is gone.
 */
final class CloseWatch {
    private final Optional<Channel> channel;
    private final ChannelFutureListener listener;

    private CloseWatch(Optional<Channel> channel, Runnable whenClosed) {
        this.channel = channel;
        listener = closed -> whenClosed.run();
        channel.ifPresent(open -> open.closeFuture().addListener(listener));
    }

    static CloseWatch of(HttpRequest<?> request, Runnable whenClosed) {
        Optional<Channel> channel = request instanceof NettyHttpRequest<?> netty
                ? Optional.of(netty.getChannelHandlerContext().channel())
                : Optional.empty();
        return new CloseWatch(channel, whenClosed);
    }

    /** Watches no more; a connection that serves many requests would otherwise keep a listener of each. */
    void end() {
        channel.ifPresent(open -> open.closeFuture().removeListener(listener));
    }
}
