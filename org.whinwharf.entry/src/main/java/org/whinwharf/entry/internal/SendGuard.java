package org.whinwharf.entry.internal;

import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.whinwharf.home.HomeEvent;
import org.whinwharf.home.SendGate;
import org.whinwharf.time.Ticker;

/**
 * Asks the gate of a request in the moment in which its head is written to a connection that stands.
 *
 * <p>Asked any earlier, the request could wait for a connection, or the process be paused, and then leave on a grant
 * that ran out meanwhile.
 */
final class SendGuard implements NettyClientCustomizer {
    /** Header that carries the identifier of the request. */
    static final String REQUEST_ID = "X-Request-Id";

    private static final String NAME = "send-guard";

    private final Ticker ticker;
    private final HomeDuty home;
    private final Map<String, Guarded> waiting = new ConcurrentHashMap<>();

    SendGuard(Ticker ticker, HomeDuty home) {
        this.ticker = ticker;
        this.home = home;
    }

    void expect(String requestId, long sequence, SendGate gate) {
        waiting.put(requestId, new Guarded(sequence, gate));
    }

    void forget(String requestId) {
        waiting.remove(requestId);
    }

    @Override
    public NettyClientCustomizer specializeForChannel(Channel channel, ChannelRole role) {
        return new NettyClientCustomizer() {
            @Override
            public NettyClientCustomizer specializeForChannel(Channel stream, ChannelRole streamRole) {
                return SendGuard.this.specializeForChannel(stream, streamRole);
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

    private boolean mayLeave(HttpRequest request) {
        String requestId = request.headers().get(REQUEST_ID);
        if (requestId == null || !request.method().equals(HttpMethod.POST)) {
            return true;
        }
        Guarded guarded = waiting.remove(requestId);
        // A request that nobody expects was cancelled, or is one that the client sends a second time of itself.
        if (guarded == null || !guarded.gate().trySend(ticker.nowMillis())) {
            return false;
        }
        home.put(new HomeEvent.Sent(guarded.sequence()));
        return true;
    }

    private record Guarded(long sequence, SendGate gate) {}

    private final class Handler extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            if (message instanceof HttpRequest request && !mayLeave(request)) {
                promise.tryFailure(new IllegalStateException("too late to send"));
                context.close();
                return;
            }
            super.write(context, message, promise);
        }
    }
}
