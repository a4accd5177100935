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
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Accepts connections from callers and sets up their pipelines. */
final class CallerAcceptor {
    /** Limits on the bytes queued for a slow caller; above the high one, reading from the target is suspended. */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(32 * 1_024, 128 * 1_024);

    private final Front front;
    private final EventLoopGroup loop;
    private final CallerPort port;
    private Channel server;
    /** Connections that were accepted. */
    private long accepted;

    CallerAcceptor(Front front, EventLoopGroup loop, CallerPort port) {
        this.front = front;
        this.loop = loop;
        this.port = port;
    }

    /** Starts accepting connections, first those already in the backlog; runs the action once accepting. */
    void start(Runnable whenAccepting) {
        new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new NioServerSocketChannel(port.channel()))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted++;
                        CallerConnection connection = new CallerConnection(front);
                        channel.pipeline()
                                .addLast(new ReceiveMonitor(connection))
                                .addLast(new StrictDecoder(front.limits().maxHeaderBytes()))
                                .addLast(new CallerResponseEncoder())
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

    /**
     * Stops accepting connections. Those that wait are accepted first, as their callers may have sent requests; before
     * the start they are reset.
     */
    void stop() {
        if (server == null) {
            port.close();
        } else if (server.isOpen()) {
            acceptWaiting();
            server.close();
        }
    }

    /**
     * Accepts the connections in the backlog. On a delayed event loop there are some, as its timers may run before it
     * has looked for new connections.
     */
    private void acceptWaiting() {
        if (server.unsafe() instanceof AbstractNioChannel.NioUnsafe listening) {
            long before;
            do {
                before = accepted;
                listening.read();
            } while (accepted > before);
        }
    }

    /** Reports received bytes to the connection, so that it can time out an incomplete head. */
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

    /** Rejects a message with both a content length and chunked encoding, which could smuggle a second request. */
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
