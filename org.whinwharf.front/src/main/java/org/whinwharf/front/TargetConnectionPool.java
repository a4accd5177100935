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

/** Connections of this process to one target. */
final class TargetConnectionPool {
    /** Longest time to connect: two hundred times a round trip, and below the shortest objective's patience. */
    private static final int CONNECT_TIMEOUT_MILLIS = 600;
    /** Most bytes of an answer's head. */
    private static final int MAX_HEADER_BYTES = 32_768;
    /** Idle time up to which a connection is trusted with a request that must not be lost in a close. */
    private static final long MAX_FRESH_IDLE_MILLIS = 1_000;

    private final Bootstrap bootstrap;
    private final Ticker ticker;
    private final Deque<TargetConnection> idle = new ArrayDeque<>();

    TargetConnectionPool(EventLoopGroup loop, HttpDialect dialect, Ticker ticker, String ip, int port) {
        this.ticker = ticker;
        TargetConnectionPool pool = this;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .remoteAddress(ip, port)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
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

    /** Hands out a connection, idle or new; nothing when none can be made. */
    void acquire(boolean mustBeFresh, Consumer<Optional<TargetConnection>> taker) {
        long nowMillis = ticker.nowMillis();
        while (!idle.isEmpty()) {
            TargetConnection link = idle.pollLast();
            boolean old = link.stale(nowMillis) || mustBeFresh && link.idleMillis(nowMillis) > MAX_FRESH_IDLE_MILLIS;
            if (link.usable() && !old) {
                taker.accept(Optional.of(link));
                return;
            }
            link.close();
        }
        bootstrap.connect().addListener((ChannelFuture future) -> {
            if (future.isSuccess()) {
                taker.accept(Optional.of(future.channel().pipeline().get(TargetConnection.class)));
            } else {
                taker.accept(Optional.empty());
            }
        });
    }

    /** Takes back a connection whose answer is in. */
    void release(TargetConnection link) {
        idle.addLast(link);
    }

    /** Notes that a connection is closed. */
    void closed(TargetConnection link) {
        idle.remove(link);
    }

    /** Closes connections that have been idle for too long. */
    void closeStale() {
        long nowMillis = ticker.nowMillis();
        for (Iterator<TargetConnection> links = idle.iterator(); links.hasNext(); ) {
            TargetConnection link = links.next();
            if (link.stale(nowMillis)) {
                links.remove();
                link.close();
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
