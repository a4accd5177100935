package org.whinwharf.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A small HTTP server for short questions with short answers: where to connect, whether ready, metrics. */
public final class HttpEndpoint {
    /** Most bytes of a question's body; none of them needs one. */
    private static final int MAX_BODY_BYTES = 4_096;

    /** Answers one question. */
    @FunctionalInterface
    public interface RequestHandler {
        /**
         * Answers a question.
         *
         * @param method HTTP method
         * @param uri path and query
         * @return the answer
         */
        Response handle(String method, String uri);
    }

    /**
     * A whole answer.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body the body
     * @param headers further headers
     */
    public record Response(int status, String contentType, String body, Map<String, String> headers) {
        /**
         * Creates an answer without further headers.
         *
         * @param status HTTP status
         * @param contentType media type
         * @param body the body
         */
        public Response(int status, String contentType, String text) {
            this(status, contentType, text, Map.of());
        }
    }

    private final EventLoopGroup loop;
    private final RequestHandler handler;
    private Channel server;

    /**
     * Creates an endpoint that is not yet bound.
     *
     * @param loop thread that serves it
     * @param answerer answers the questions, on that thread
     */
    public HttpEndpoint(EventLoopGroup loop, RequestHandler answerer) {
        this.loop = loop;
        this.handler = answerer;
    }

    /**
     * Begins to listen and waits until it does; not to be called on the thread that serves it.
     *
     * @param ip IPv4 address
     * @param port TCP port
     */
    public void start(String ip, int port) {
        bind(ip, port).syncUninterruptibly();
    }

    /**
     * Begins to listen.
     *
     * @param ip IPv4 address
     * @param port TCP port
     * @return done once it listens, or cannot
     */
    public ChannelFuture bind(String ip, int port) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestDecoder())
                                .addLast(new HttpResponseEncoder())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new EndpointHandler());
                    }
                })
                .bind(ip, port);
        server = bound.channel();
        return bound;
    }

    /** Stops listening. */
    public void stop() {
        if (server != null) {
            server.close();
        }
    }

    private final class EndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest question) {
            Response answer = question.decoderResult().isFailure()
                    ? new Response(400, "text/plain", "")
                    : handler.handle(question.method().name(), question.uri());
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()),
                    Unpooled.copiedBuffer(answer.body(), StandardCharsets.UTF_8));
            answer.headers().forEach((name, value) -> response.headers().set(name, value));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            boolean keepAlive = HttpUtil.isKeepAlive(question);
            HttpUtil.setKeepAlive(response, keepAlive);
            var written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
