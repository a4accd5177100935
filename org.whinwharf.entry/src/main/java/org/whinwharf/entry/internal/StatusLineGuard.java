package org.whinwharf.entry.internal;

import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Pattern;

/**
 * Ends a connection to a target whose answer has no sound status line, before the client's lenient decoder reads it.
 *
 * <p>Sound are statuses of exactly three digits, from 100 to 599 and other than 101, as no request asks for another
 * protocol. Such a connection brings one answer, behind any number of interim ones.
 */
final class StatusLineGuard implements NettyClientCustomizer {
    private static final String NAME = "status-line-guard";
    private static final Pattern SOUND_START = Pattern.compile("HTTP/1\\.[01] (?!101)[1-5][0-9]{2}[ \r\n]");
    private static final int START_LENGTH = "HTTP/1.1 200 ".length();
    private static final int CLASS_INDEX = "HTTP/1.1 ".length();
    private static final char INTERIM_CLASS = '1';

    @Override
    public NettyClientCustomizer specializeForChannel(Channel channel, ChannelRole role) {
        return new NettyClientCustomizer() {
            @Override
            public NettyClientCustomizer specializeForChannel(Channel stream, ChannelRole streamRole) {
                return StatusLineGuard.this.specializeForChannel(stream, streamRole);
            }

            @Override
            public void onStreamPipelineBuilt() {
                String codec = ChannelPipelineCustomizer.HANDLER_HTTP_CLIENT_CODEC;
                if (channel.pipeline().get(codec) != null) {
                    channel.pipeline().addBefore(codec, NAME, new Handler());
                }
            }
        };
    }

    private static final class Handler extends ChannelInboundHandlerAdapter {
        private final StringBuilder start = new StringBuilder();
        private boolean lineEmpty;
        private boolean answerBegun;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes && !answerBegun && bytes.forEachByte(this::accepts) >= 0) {
                ReferenceCountUtil.release(message);
                context.close();
                return;
            }
            super.channelRead(context, message);
        }

        /** Accepts the next byte of a head; what follows the status of the answer itself is not looked at. */
        private boolean accepts(byte next) {
            if (answerBegun) {
                return true;
            }
            if (start.length() == START_LENGTH) {
                skipInterimHead(next);
                return true;
            }
            if (start.isEmpty() && (next == '\r' || next == '\n')) {
                return true;
            }
            start.append((char) next);
            if (start.length() < START_LENGTH) {
                return true;
            }
            lineEmpty = next == '\n';
            boolean sound = SOUND_START.matcher(start).matches();
            answerBegun = sound && start.charAt(CLASS_INDEX) != INTERIM_CLASS;
            return sound;
        }

        private void skipInterimHead(byte next) {
            if (next == '\n' && lineEmpty) {
                start.setLength(0);
            } else if (next != '\r') {
                lineEmpty = next == '\n';
            }
        }
    }
}
