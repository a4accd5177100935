package org.whinwharf.entry.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.micronaut.http.client.netty.NettyClientCustomizer.ChannelRole;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.whinwharf.home.SendGate;

class SendGuardTest {
    private static final String ID = "entry-1.7.1";
    private long nowMillis = 100;
    private final SendGuard guard = new SendGuard(() -> nowMillis, new HomeDuty(() -> nowMillis));

    // The process is paused while a connection to the target comes about, and wakes when the grant has run out. The
    // owner has given the slot away, so the request must not leave.
    @Test
    void requestIsKeptBackWhenItsGrantRanOutWhileConnecting() {
        SendGate gate = new SendGate(200);
        guard.expect(ID, 1, gate);
        nowMillis = 200;
        EmbeddedChannel channel = connection();
        assertThat(channel.writeAndFlush(post()).isSuccess(), is(false));
        assertThat(channel.readOutbound(), is(nullValue()));
        assertThat(channel.isOpen(), is(false));
        assertThat("nothing left", gate.close(), is(true));
    }

    // A client that finds its connection closed may send a request a second time of itself. The target could then run
    // a booking twice.
    @Test
    void requestLeavesOnceHoweverOftenItIsWritten() {
        guard.expect(ID, 1, new SendGate(200));
        EmbeddedChannel first = connection();
        assertThat(first.writeOutbound(post()), is(true));
        EmbeddedChannel second = connection();
        assertThat(second.writeAndFlush(post()).isSuccess(), is(false));
        assertThat(second.readOutbound(), is(nullValue()));
    }

    private EmbeddedChannel connection() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.pipeline().addLast(ChannelPipelineCustomizer.HANDLER_HTTP_CLIENT_CODEC, new ChannelDuplexHandler());
        guard.specializeForChannel(channel, ChannelRole.CONNECTION).onStreamPipelineBuilt();
        return channel;
    }

    private static FullHttpRequest post() {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/streams");
        request.headers().set(SendGuard.REQUEST_ID, ID);
        return request;
    }
}
