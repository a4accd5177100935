package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.items.PublishedValue;

/** Tests the interaction of several fronts. */
class FleetTest {
    private static final long TIMEOUT_SECONDS = 20;

    @Test
    void frontsAdvertiseEachOtherToCallers() throws Exception {
        try (FrontFixture one = new FrontFixture();
                FrontFixture two = new FrontFixture(List.of(one.ip()))) {
            one.publishCatalog(1, 1_000);
            two.publishCatalog(1, 1_000);
            FrontFixture.await(() -> one.advertisedFronts() == 2 && two.advertisedFronts() == 2);
        }
    }

    /**
     * The publishing service rejects one front and serves the others. Without its peers, that front would keep
     * accepting a key that is revoked meanwhile; it receives the change from a peer.
     */
    @Test
    void frontThatCannotReadTheServiceReceivesItemsFromAPeer() throws Exception {
        try (FrontFixture one = new FrontFixture();
                FrontFixture two = new FrontFixture(List.of(one.ip()))) {
            BlockingQueue<String> received = new LinkedBlockingQueue<>();
            two.run(() -> two.front()
                    .feed()
                    .listener((value, afterInitialCopy, readableForMillis) -> received.add(value.key())));
            one.run(() -> one.front().feed().applySnapshot(List.of(item("routes", 3)), 3));
            assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), is("routes"));
            one.run(() -> one.front().feed().applyWatchEvents(List.of(item("keys", 4)), 4));
            assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), is("keys"));
        }
    }

    /**
     * A front is stopped for a replacement while it handles a request, and another caller connects with an older list
     * of addresses. Both receive their responses, and the peers no longer give out the front's address.
     */
    @Test
    void plannedStopInterruptsNoRequest() throws Exception {
        CountDownLatch answerAllowed = new CountDownLatch(1);
        try (FrontFixture one = new FrontFixture();
                FrontFixture two = new FrontFixture(List.of(one.ip()))) {
            FakeTarget target = one.target("t", (request, socket) -> {
                FrontFixture.awaitLatch(answerAllowed);
                FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
            });
            one.publishCatalog(1, 15_000);
            two.publishCatalog(1, 1_000);
            FrontFixture.await(() -> two.advertisedFronts() == 2);
            try (Socket early = one.connect()) {
                FakeTarget.write(early, FrontFixture.request("POST", "/unsafe/x", "a", false));
                FrontFixture.await(() -> target.requests().size() == 1);
                CountDownLatch ended = new CountDownLatch(1);
                one.front().onStopped(ended::countDown);
                one.front().stop();
                FrontFixture.await(
                        () -> two.advertisedFronts() == 1 && !one.front().ready());
                answerAllowed.countDown();
                assertThat(FrontFixture.readAll(early), endsWith("whole"));
                String late = one.exchange(FrontFixture.request("POST", "/unsafe/x", "b", false));
                assertThat(late, startsWith("HTTP/1.1 200"));
                assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
                assertThat(target.requests(), hasSize(2));
            }
        }
    }

    /** A front is killed. Its peers must stop giving out its address once a few of its reports are missing. */
    @Test
    void silentFrontIsNoLongerAdvertised() throws Exception {
        try (FrontFixture two = new FrontFixture()) {
            two.publishCatalog(1, 1_000);
            try (FrontFixture one = new FrontFixture(List.of(two.ip()))) {
                one.publishCatalog(1, 1_000);
                FrontFixture.await(() -> two.advertisedFronts() == 2);
            }
            FrontFixture.await(() -> two.advertisedFronts() == 1);
            assertThat(two.front().callerAddresses(64), contains(startsWith(two.ip() + ":")));
        }
    }

    private static PublishedValue item(String key, long revision) {
        return new PublishedValue(key, key.getBytes(StandardCharsets.US_ASCII), revision);
    }
}
