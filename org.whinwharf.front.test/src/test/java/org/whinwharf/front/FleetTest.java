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

/** Fronts that act together. */
class FleetTest {
    private static final long TIMEOUT_SECONDS = 20;

    @Test
    void frontsNameEachOtherToCallers() throws Exception {
        try (FrontFixture one = new FrontFixture();
                FrontFixture two = new FrontFixture(List.of(one.ip()))) {
            one.publishCatalog(1, 1_000);
            two.publishCatalog(1, 1_000);
            FrontFixture.await(() -> one.advertisedFronts() == 2 && two.advertisedFronts() == 2);
        }
    }

    /**
     * The publishing service turns one front away and serves the others. A key that is taken away meanwhile would go on
     * working there; the front hears of it from a peer.
     */
    @Test
    void frontThatCannotReadTheServiceHearsItemsFromAPeer() throws Exception {
        try (FrontFixture one = new FrontFixture();
                FrontFixture two = new FrontFixture(List.of(one.ip()))) {
            BlockingQueue<String> heard = new LinkedBlockingQueue<>();
            two.run(() -> two.front().feed().listener((value, duringService, away) -> heard.add(value.key())));
            one.run(() -> one.front().feed().applySnapshot(List.of(item("routes", 3)), 3));
            assertThat(heard.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), is("routes"));
            one.run(() -> one.front().feed().applyWatchEvents(List.of(item("keys", 4)), 4));
            assertThat(heard.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), is("keys"));
        }
    }

    /**
     * A front is stopped for a replacement while it answers a request and a caller still comes with an older list of
     * addresses. Both get their answers, and its peers name it to nobody any more.
     */
    @Test
    void plannedStopCutsOffNoRequest() throws Exception {
        CountDownLatch answerNow = new CountDownLatch(1);
        try (FrontFixture one = new FrontFixture();
                FrontFixture two = new FrontFixture(List.of(one.ip()))) {
            FakeTarget target = one.target("t", (request, socket) -> {
                FrontFixture.awaitLatch(answerNow);
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
                answerNow.countDown();
                assertThat(FrontFixture.readAll(early), endsWith("whole"));
                String late = one.exchange(FrontFixture.request("POST", "/unsafe/x", "b", false));
                assertThat(late, startsWith("HTTP/1.1 200"));
                assertThat(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
                assertThat(target.requests(), hasSize(2));
            }
        }
    }

    /** A front is killed. Callers must not be sent to it for longer than a few lost reports take. */
    @Test
    void silentFrontIsNamedNoMore() throws Exception {
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
