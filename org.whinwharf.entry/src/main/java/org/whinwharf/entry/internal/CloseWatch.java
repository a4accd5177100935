package org.whinwharf.entry.internal;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Notices that the connection of a request closes.
 *
 * <p>The server cancels an answer only when it fails to write it. Until the first event there is nothing to write, so
 * without this a request would wait, and run, for a caller that is gone.
 */
final class CloseWatch {
    private final Optional<Channel> channel;
    private volatile ChannelFutureListener listener = closed -> {};

    CloseWatch(Optional<Channel> channel) {
        this.channel = channel;
    }

    static CloseWatch of(HttpRequest<?> request) {
        return new CloseWatch(
                request instanceof NettyHttpRequest<?> netty
                        ? Optional.of(netty.getChannelHandlerContext().channel())
                        : Optional.empty());
    }

    /**
     * Begins to watch.
     *
     * @param whenClosed is told why the connection closed
     */
    void begin(Consumer<String> whenClosed) {
        listener = closed -> whenClosed.accept(cause());
        channel.ifPresent(open -> open.closeFuture().addListener(listener));
    }

    /** Watches no more; a connection that serves many requests would otherwise keep a listener of each. */
    void end() {
        channel.ifPresent(open -> open.closeFuture().removeListener(listener));
    }

    /** Tells why the connection closed, or that it is open and the server took no more of the answer. */
    String cause() {
        return channel.filter(each -> !each.isOpen()).map(CloseCause::of).orElse(CloseCause.CANCELLED);
    }
}
