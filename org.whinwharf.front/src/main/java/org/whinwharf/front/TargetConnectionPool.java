package org.whinwharf.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinwharf.time.Ticker;

/** Pool of this process's connections to one target. */
final class TargetConnectionPool {
    /** Connect timeout: 200 round-trip times, and less than the queue timeout of the shortest objective. */
    private static final int CONNECT_TIMEOUT_MILLIS = 600;
    /** Maximum size of a response's head in bytes. */
    private static final int MAX_HEADER_BYTES = 32_768;
    /** Maximum idle time of a connection used for a request that must not be lost when the target closes it. */
    private static final long MAX_FRESH_IDLE_MILLIS = 1_000;

    private final Bootstrap bootstrap;
    private final Ticker ticker;
    private final Deque<TargetConnection> idle = new ArrayDeque<>();
    private final ConnectListener connectListener;

    /** Receives the outcome of each attempt to connect to the target. */
    interface ConnectListener {
        /** Handles one attempt that took the given time. */
        void connectAttempted(boolean connected, long tookMillis);
    }

    TargetConnectionPool(
            EventLoopGroup loop,
            HttpDialect dialect,
            Ticker ticker,
            String ip,
            int port,
            ConnectListener connectListener) {
        this.connectListener = connectListener;
        this.ticker = ticker;
        TargetConnectionPool pool = this;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .remoteAddress(ip, port)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                // Makes an end of input an event of its own, which a connection that fails does not cause.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new TargetAnswerDecoder(new HttpDecoderConfig()
                                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                                        .setStrictLineParsing(true)))
                                .addLast(new TargetConnection(dialect, pool));
                    }
                });
    }

    /** Passes an idle or a new connection to the consumer, or an empty value when no connection can be established. */
    void acquire(boolean mustBeFresh, Consumer<Optional<TargetConnection>> consumer) {
        long nowMillis = ticker.nowMillis();
        while (!idle.isEmpty()) {
            TargetConnection connection = idle.pollLast();
            boolean expired = connection.stale(nowMillis)
                    || mustBeFresh && connection.idleMillis(nowMillis) > MAX_FRESH_IDLE_MILLIS;
            if (connection.usable() && !expired) {
                consumer.accept(Optional.of(connection));
                return;
            }
            connection.close();
        }
        bootstrap.connect().addListener((ChannelFuture future) -> {
            connectListener.connectAttempted(future.isSuccess(), ticker.nowMillis() - nowMillis);
            if (future.isSuccess()) {
                consumer.accept(Optional.of(future.channel().pipeline().get(TargetConnection.class)));
            } else {
                consumer.accept(Optional.empty());
            }
        });
    }

    /** Returns a connection to the pool after a complete response. */
    void release(TargetConnection connection) {
        idle.addLast(connection);
    }

    /** Removes a closed connection. */
    void closed(TargetConnection connection) {
        idle.remove(connection);
    }

    /** Closes connections that have been idle for longer than their keep-alive time. */
    void closeStale() {
        long nowMillis = ticker.nowMillis();
        for (Iterator<TargetConnection> connections = idle.iterator(); connections.hasNext(); ) {
            TargetConnection connection = connections.next();
            if (connection.stale(nowMillis)) {
                connections.remove();
                connection.close();
            }
        }
    }

    /** Closes all idle connections. */
    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.pollLast().close();
        }
    }

    long nowMillis() {
        return ticker.nowMillis();
    }
}
