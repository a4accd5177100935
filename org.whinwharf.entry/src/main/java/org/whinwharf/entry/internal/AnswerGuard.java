package org.whinwharf.entry.internal;

import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Takes one answer from each connection to a target, and no answer that only the connection's end completes.
 *
 * <p>Answers of targets name no request. On a connection that carried another one before, bytes of its answer that come
 * again could not be told from the answer that is awaited. And a connection ends in the same way whether its target has
 * written the whole answer or was killed inside it.
 */
final class AnswerGuard implements NettyClientCustomizer {
    private static final String NAME = "answer-guard";

    @Override
    public NettyClientCustomizer specializeForChannel(Channel channel, ChannelRole role) {
        return new NettyClientCustomizer() {
            @Override
            public NettyClientCustomizer specializeForChannel(Channel stream, ChannelRole streamRole) {
                return AnswerGuard.this.specializeForChannel(stream, streamRole);
            }

            @Override
            public void onStreamPipelineBuilt() {
                String codec = ChannelPipelineCustomizer.HANDLER_HTTP_CLIENT_CODEC;
                if (channel.pipeline().get(codec) != null) {
                    channel.pipeline().addAfter(codec, NAME, new Handler());
                }
            }
        };
    }

    private static final class Handler extends ChannelInboundHandlerAdapter {
        private boolean begun;
        private boolean ended;
        private boolean endDeclared;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof HttpResponse response && !isInterim(response)) {
                begun = true;
                endDeclared = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
                // The client closes connections whose answers ask for it. The request doesn't: some targets might
                // leave out the length of their answers then.
                HttpUtil.setKeepAlive(response, false);
            }
            // The client takes interim answers other than 100 for the answer.
            if (!begun) {
                ReferenceCountUtil.release(message);
                return;
            }
            // The decoder ends a body without a declared end when its connection has ended.
            boolean cut = !endDeclared && !context.channel().isActive();
            if (ended || cut && message instanceof LastHttpContent) {
                ReferenceCountUtil.release(message);
                return;
            }
            ended = message instanceof LastHttpContent;
            super.channelRead(context, message);
        }

        private static boolean isInterim(HttpResponse response) {
            return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
    }
}
