package org.whinwharf.entry.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class IdleGuardTest {
    private static final long IDLE_MILLIS = 1_000;
    private final Exchanges exchanges = new Exchanges();
    private final EmbeddedChannel channel = new EmbeddedChannel(new IdleGuard(IDLE_MILLIS, exchanges));

    IdleGuardTest() {
        channel.freezeTime();
    }

    // A caller opens a connection, sends half of its request and then a byte now and then. Enough of these would take
    // all connections of the host.
    @Test
    void requestThatDoesNotArriveWholeInTimeIsCutOff() {
        channel.writeInbound(head());
        channel.advanceTimeBy(IDLE_MILLIS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(channel.isOpen(), is(false));
    }

    // A request waits for a slot longer than the bound on idle connections. Its caller must not be cut off.
    @Test
    void callerThatWaitsForItsAnswerIsNotIdle() {
        channel.writeInbound(head(), new DefaultLastHttpContent());
        channel.advanceTimeBy(2 * IDLE_MILLIS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT);
        assertThat(channel.isOpen(), is(true));
        channel.writeOutbound(new DefaultLastHttpContent());
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT);
        assertThat(channel.isOpen(), is(false));
    }

    // A host is stopped while the last bytes of an answer wait to be written. They count as in flight until they are.
    @Test
    void exchangeIsOpenUntilItsAnswerIsWrittenOrItsConnectionGone() {
        channel.writeInbound(head(), new DefaultLastHttpContent());
        assertThat(exchanges.count(), is(1));
        channel.writeAndFlush(new DefaultLastHttpContent(), channel.voidPromise());
        assertThat(exchanges.count(), is(0));
        channel.writeInbound(head());
        channel.writeOutbound(new DefaultLastHttpContent());
        channel.writeInbound(new DefaultLastHttpContent());
        assertThat("answered before its end was read", exchanges.count(), is(0));
        channel.writeInbound(head(), new DefaultLastHttpContent());
        channel.close();
        assertThat(exchanges.count(), is(0));
    }

    private static DefaultHttpRequest head() {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/requests");
    }
}
