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

/** A small HTTP server for short requests and responses: addresses to connect to, readiness, metrics. */
public final class HttpEndpoint {
    /** Maximum size of a request body; no request needs one. */
    private static final int MAX_BODY_BYTES = 4_096;

    /** Handles the requests to an endpoint. */
    @FunctionalInterface
    public interface RequestHandler {
        /**
         * Handles a request.
         *
         * @param method HTTP method
         * @param uri path and query
         * @return the response
         */
        Response handle(String method, String uri);
    }

    /**
     * A complete response.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body body, sent in UTF-8
     * @param headers additional headers
     */
    public record Response(int status, String contentType, String body, Map<String, String> headers) {
        /**
         * Creates a response without additional headers.
         *
         * @param status HTTP status
         * @param contentType media type
         * @param body body, sent in UTF-8
         */
        public Response(int status, String contentType, String body) {
            this(status, contentType, body, Map.of());
        }
    }

    private final EventLoopGroup loop;
    private final RequestHandler handler;
    private Channel server;

    /**
     * Creates an endpoint that is not yet bound.
     *
     * @param loop event loop that serves the endpoint
     * @param handler handles the requests, on the thread of the event loop
     */
    public HttpEndpoint(EventLoopGroup loop, RequestHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /**
     * Starts listening and waits until bound; must not be called on the thread of the event loop.
     *
     * @param ip IPv4 address
     * @param port TCP port
     */
    public void start(String ip, int port) {
        bind(ip, port).syncUninterruptibly();
    }

    /**
     * Starts listening.
     *
     * @param ip IPv4 address
     * @param port TCP port
     * @return completes when the endpoint listens or failed to bind
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
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Response response = request.decoderResult().isFailure()
                    ? new Response(400, "text/plain", "")
                    : handler.handle(request.method().name(), request.uri());
            FullHttpResponse httpResponse = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.copiedBuffer(response.body(), StandardCharsets.UTF_8));
            response.headers().forEach((name, value) -> httpResponse.headers().set(name, value));
            httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
            httpResponse
                    .headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, httpResponse.content().readableBytes());
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(httpResponse, keepAlive);
            var written = context.writeAndFlush(httpResponse);
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
