package org.whinwharf.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Accepts the connections of callers. */
final class CallerAcceptor {
    /** Answer bytes queued for a slow caller before its target is read no further. */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(32 * 1_024, 128 * 1_024);

    private final Front front;
    private final EventLoopGroup loop;
    private final CallerPort port;
    private Channel server;

    CallerAcceptor(Front front, EventLoopGroup loop, CallerPort port) {
        this.front = front;
        this.loop = loop;
        this.port = port;
    }

    /** Begins to accept connections, those that wait already first; the action runs once it does. */
    void start(Runnable whenAccepting) {
        new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new NioServerSocketChannel(port.channel()))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallerConnection connection = new CallerConnection(front);
                        channel.pipeline()
                                .addLast(new ReceiveMonitor(connection))
                                .addLast(new StrictDecoder(front.limits().maxHeaderBytes()))
                                .addLast(new HttpResponseEncoder())
                                .addLast(connection);
                    }
                })
                .register()
                .addListener((ChannelFuture registered) -> {
                    if (registered.isSuccess()) {
                        server = registered.channel();
                        whenAccepting.run();
                    } else {
                        FrontLog.taskFailed("accept callers", registered.cause());
                    }
                });
    }

    /** Takes no more connections. */
    void stop() {
        if (server != null) {
            server.close();
        } else {
            port.close();
        }
    }

    /** Tells a connection that bytes came, so that an incomplete head is noticed. */
    private static final class ReceiveMonitor extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ReceiveMonitor(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes && bytes.isReadable()) {
                connection.bytesReceived();
            }
            context.fireChannelRead(message);
        }
    }

    /** Refuses a message with both a length and chunks, in which a second request could hide. */
    private static final class StrictDecoder extends HttpRequestDecoder {
        StrictDecoder(int maxHeaderBytes) {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(maxHeaderBytes)
                    .setMaxHeaderSize(maxHeaderBytes)
                    .setStrictLineParsing(true)
                    .setAllowDuplicateContentLengths(false));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both a content length and a transfer encoding");
        }
    }
}
