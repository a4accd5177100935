package org.whinwharf.entry.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

class SilenceLimitTest {
    private static final Duration LIMIT = Duration.ofMillis(100);
    private static final long SEVERAL_LIMITS_MILLIS = 400;

    private final Sinks.Many<String> stream = Sinks.many().unicast().onBackpressureBuffer();
    private final List<String> parts = new CopyOnWriteArrayList<>();
    private final AtomicReference<Throwable> failure = new AtomicReference<>();
    private final CountDownLatch over = new CountDownLatch(1);

    // Guards against streams that stand still until their deadline when a target vanishes without closing its
    // connection.
    @Test
    void streamThatFallsSilentFails() throws InterruptedException {
        read(stream.asFlux());
        stream.tryEmitNext("first");
        assertThat(over.await(10, TimeUnit.SECONDS), is(true));
        assertThat(failure.get(), instanceOf(TimeoutException.class));
        assertThat(parts, is(List.of("first")));
    }

    // Guards against long prompts that are taken for a silent engine.
    @Test
    void waitForTheFirstPartIsNotSilence() throws InterruptedException {
        read(stream.asFlux());
        Thread.sleep(SEVERAL_LIMITS_MILLIS);
        stream.tryEmitNext("first");
        stream.tryEmitComplete();
        assertThat(over.await(10, TimeUnit.SECONDS), is(true));
        assertThat(failure.get(), is(nullValue()));
    }

    // Guards against answers that stand still until their deadline when the order to resume them is lost.
    @Test
    void resumedStreamWithoutAFirstPartFails() throws InterruptedException {
        SilenceLimit.applyToResumed(stream.asFlux(), LIMIT)
                .doFinally(signal -> over.countDown())
                .subscribe(parts::add, failure::set);
        assertThat(over.await(10, TimeUnit.SECONDS), is(true));
        assertThat(SilenceLimit.isSilence(failure.get()), is(true));
    }

    // Guards against answers that are cut because a silent host accepts no connections.
    @Test
    void connectionThatIsNotAcceptedInTimeIsSilence() {
        assertThat(SilenceLimit.isSilence(new IOException(new ConnectTimeoutException("500 ms"))), is(true));
        assertThat(SilenceLimit.isSilence(new IOException(new NoRouteToHostException("dark"))), is(true));
    }

    // Guards against callers that wait until their deadline for a target that is known to be gone.
    @Test
    void refusedOrResetConnectionIsNotSilence() {
        assertThat(SilenceLimit.isSilence(new IOException(new ConnectException("refused"))), is(false));
        assertThat(SilenceLimit.isSilence(new SocketException("reset")), is(false));
    }

    private void read(Flux<String> flux) {
        SilenceLimit.apply(flux, LIMIT).doFinally(signal -> over.countDown()).subscribe(parts::add, failure::set);
    }
}
