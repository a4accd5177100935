package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies a planned stop that begins late, or under callers that do not keep to what is usual. */
class LateStopTest {
    /** Longer than a stop may take. */
    private static final long LONG_TIMEOUT_MILLIS = 12_000;
    /** Grace time of the fixture, after which the process is killed. */
    private static final long GRACE_MILLIS = 8_000;
    /** Longer than the margin that a stop leaves before the end of the grace time. */
    private static final long BUSY_MILLIS = 1_000;
    /** Time after which a caller gives up an attempt that no front reads. */
    private static final long UNREAD_LIMIT_MILLIS = 1_000;
    /** Interval between the parts of a body, whose number takes it well past the refusal. */
    private static final long PART_INTERVAL_MILLIS = 100;

    private static final int PARTS = 45;

    private final CountDownLatch testEnds = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private FrontFixture front;
    private FakeTarget target;

    @BeforeEach
    void startFront() throws IOException {
        front = new FrontFixture();
        front.front().onStopped(stopped::countDown);
        target = new FakeTarget("127.0.0.1", (request, socket) -> {
            if (FakeTarget.attemptId(request).startsWith("endless")) {
                FrontFixture.awaitLatch(testEnds);
            }
            FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
        });
    }

    @AfterEach
    void stopFront() throws IOException {
        testEnds.countDown();
        front.close();
        target.close();
    }

    private void publishPlainTarget() {
        front.publishCatalog(1, LONG_TIMEOUT_MILLIS);
        front.publish("target", "127.0.0.1", target.port(), 8);
    }

    /** Guards against a stop that counts its grace time from when the event loop learns of it, and is then killed. */
    @Test
    void graceTimeCountsFromTheRequestToStop() throws Exception {
        publishPlainTarget();
        try (Socket caller = front.connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/unsafe/x", "endless", true));
            FrontFixture.await(() -> !target.requests().isEmpty());
            CountDownLatch busy = new CountDownLatch(1);
            front.front().loop().execute(() -> {
                busy.countDown();
                pause(BUSY_MILLIS);
            });
            FrontFixture.awaitLatch(busy);
            front.front().stop();
            assertThat(stopped.await(GRACE_MILLIS, TimeUnit.MILLISECONDS), is(true));
        }
    }

    /** Guards against a reset that takes the refusal from a caller which reads it after it has sent its body. */
    @Test
    void refusedUploadThatGoesOnReceivesItsResponse() throws Exception {
        publishPlainTarget();
        try (Socket caller = front.connect()) {
            FakeTarget.write(
                    caller,
                    "POST /stream/x HTTP/1.1\r\nHost: h\r\nAttempt: upload\r\nTransfer-Encoding: chunked\r\n\r\n");
            front.front().stop();
            try {
                for (int i = 0; i < PARTS; i++) {
                    FakeTarget.write(caller, FakeTarget.chunk("part"));
                    TimeUnit.MILLISECONDS.sleep(PART_INTERVAL_MILLIS);
                }
                FakeTarget.write(caller, "0\r\n\r\n");
            } catch (IOException e) {
                // What the front has sent before it closed the connection must be there nevertheless.
            }
            assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 503"));
        }
    }

    /** Guards against a stop that ends without a word to its callers, because the handling of one of them fails. */
    @Test
    void failureOnOneConnectionDoesNotKeepTheStopFromItsEnd() throws Exception {
        publishPlainTarget();
        try (Socket caller = front.connect();
                Socket failing = front.connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/unsafe/x", "endless", true));
            FrontFixture.await(() -> !target.requests().isEmpty());
            // The dialect of the tests throws at this prompt, which no production dialect is known to do.
            FakeTarget.write(
                    failing,
                    "POST /stream/x HTTP/1.1\r\nHost: h\r\nAttempt: a\r\nPrompt: none\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            front.front().stop();
            long endsNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS);
            while (stopped.getCount() > 0 && System.nanoTime() < endsNanos) {
                // Goes on, so that the connection is not closed as idle.
                FakeTarget.write(failing, FakeTarget.chunk("part"));
                stopped.await(PART_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
            assertThat(stopped.getCount(), is(0L));
        }
    }

    /** Guards against callers that wait unread at a port while a front that never served stops. */
    @Test
    void callersOfAFrontThatStopsWhileItStartsAreNotLeftUnread() throws Exception {
        front.front().stop();
        long beganNanos = System.nanoTime();
        try (Socket caller = front.connect()) {
            FakeTarget.write(caller, FrontFixture.request("GET", "/safe/x", "a", true));
            FrontFixture.readAll(caller);
        } catch (IOException e) {
            // Refused or reset, so that the caller goes elsewhere at once.
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos), lessThan(UNREAD_LIMIT_MILLIS));
    }

    /** Guards against refusing a queued request late in a stop that is expected to end in time. */
    @Test
    void queuedRequestWithAShortAnswerIsServedLateInAStop() throws Exception {
        front.publishCatalog(1, 10 * LONG_TIMEOUT_MILLIS, true, 5 * LONG_TIMEOUT_MILLIS);
        front.publish("engine", "127.0.0.1", target.port(), 1);
        try (Socket first = front.connect();
                Socket second = front.connect();
                Socket queued = front.connect()) {
            FakeTarget.write(first, FrontFixture.request("POST", "/safe/x", "endless-1", true));
            FakeTarget.write(second, FrontFixture.request("POST", "/safe/x", "endless-2", true));
            FrontFixture.await(() -> target.requests().stream()
                            .filter(request -> request.startsWith("POST"))
                            .count()
                    == 2);
            FakeTarget.write(queued, FrontFixture.request("POST", "/unsafe/x", "queued", true));
            front.front().stop();
            FrontFixture.await(this::expectsNoCallers);
            testEnds.countDown();
            assertThat(FrontFixture.readAll(queued), startsWith("HTTP/1.1 200"));
        }
    }

    private boolean expectsNoCallers() {
        boolean[] none = new boolean[1];
        PlannedStop stop = front.front().plannedStop();
        front.run(() -> none[0] = stop.begun() && !stop.expectsCallers());
        return none[0];
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
