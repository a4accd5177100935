package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies which requests a front accepts during a planned stop, and what becomes of those that the stop cuts off. */
class PlannedStopTest {
    /** Longer than a stop may take. */
    private static final long LONG_TIMEOUT_MILLIS = 12_000;
    /** Short enough that a request ends before a stop which began some seconds before it. */
    private static final long SHORT_TIMEOUT_MILLIS = 1_000;

    private static final FleetLimits SHORT_LIMITS = new FleetLimits(1, SHORT_TIMEOUT_MILLIS, 500, 0, 0);
    /** Long enough that no request is rejected while it is queued. */
    private static final long OBJECTIVE_MILLIS = 60_000;
    /** Time from the start of a stop by which callers that use other addresses can have gone elsewhere. */
    private static final long LATE_MILLIS = 3_400;
    /** Grace time of the fixture. */
    private static final long GRACE_MILLIS = 8_000;

    /** Request whose answer takes longer than a stop. */
    private static final String LONG_REQUEST = FrontFixture.request("POST", "/stream/x", "stream-long", true)
            .replace("Content-Length", "Answer-Tokens: 4000\r\nContent-Length");

    private static final long RESET_MILLIS = 200;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final CountDownLatch firstMayEnd = new CountDownLatch(1);
    private final CountDownLatch testEnds = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private FrontFixture front;
    private FakeTarget target;

    @BeforeEach
    void startFront() throws IOException {
        front = new FrontFixture();
        front.front().onStopped(stopped::countDown);
        target = new FakeTarget("127.0.0.1", this::answer);
    }

    @AfterEach
    void stopFront() throws IOException {
        testEnds.countDown();
        front.close();
        target.close();
    }

    /** Answers at once, or as long as the name of the attempt says. */
    private void answer(String request, Socket socket) throws IOException {
        String attempt = FakeTarget.attemptId(request);
        if (attempt.startsWith("stream")) {
            FakeTarget.write(
                    socket,
                    "HTTP/1.1 200 X\r\nAttempt: " + attempt + "\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + FakeTarget.chunk("id: 1\n\n"));
            FrontFixture.awaitLatch(attempt.equals("stream-first") ? firstMayEnd : testEnds);
            FakeTarget.write(socket, "0\r\n\r\n");
            return;
        }
        if (attempt.startsWith("endless")) {
            FrontFixture.awaitLatch(testEnds);
        }
        FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
    }

    /**
     * Guards against cutting off a stream that a caller requests over a kept connection when its last stream, which
     * began before the stop, has ended late in the stop.
     */
    @Test
    void nextRequestOfAKeptConnectionIsNotSentToATargetLateInAStop() throws Exception {
        publishPlainTarget();
        try (KeptConnection caller = new KeptConnection(front.connect(), READ_TIMEOUT_MILLIS)) {
            KeptConnection.Response next = requestAfterAStream(caller, "stream-next");
            assertThat(next.status(), is(503));
            assertThat(next.ending(), is(KeptConnection.Ending.COMPLETE));
            assertThat("connection kept", caller.open(), is(false));
            assertThat(attempts(), contains("stream-first"));
        }
    }

    /** Guards against refusing late requests that end before the process does, whatever their targets do. */
    @Test
    void requestWithAShortTimeoutIsServedLateInAStop() throws Exception {
        publishPlainTarget();
        try (KeptConnection caller = new KeptConnection(front.connect(), READ_TIMEOUT_MILLIS)) {
            KeptConnection.Response next = requestAfterAStream(caller, "short");
            assertThat(next.status(), is(200));
            assertThat(next.body(), is("whole"));
            assertThat(attempts(), contains("stream-first", "short"));
        }
    }

    /** Has a caller send a request at once after a stream that spans the start of a stop. */
    private KeptConnection.Response requestAfterAStream(KeptConnection caller, String attempt) throws Exception {
        CompletableFuture<KeptConnection.Response> first = CompletableFuture.supplyAsync(
                () -> caller.exchange(FrontFixture.request("POST", "/stream/x", "stream-first", false)));
        FrontFixture.await(() -> !target.requests().isEmpty());
        front.front().stop();
        TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
        if (attempt.equals("short")) {
            front.republishCatalog(2, SHORT_LIMITS, false);
        }
        firstMayEnd.countDown();
        assertThat(first.get().ending(), is(KeptConnection.Ending.COMPLETE));
        return caller.exchange(FrontFixture.request("POST", "/stream/x", attempt, false));
    }

    /** Guards against cutting off a request whose head came before a stop and whose last byte late in it. */
    @Test
    void requestWhoseBodyEndsLateInAStopIsNotSentToATarget() throws Exception {
        publishPlainTarget();
        try (Socket caller = front.connect()) {
            FakeTarget.write(caller, upload("stream-upload"));
            front.front().stop();
            TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
            FakeTarget.write(caller, "0\r\n\r\n");
            // A reset, if the front sends one, has arrived by then.
            TimeUnit.MILLISECONDS.sleep(RESET_MILLIS);
            assertThat(FrontFixture.readUntil(caller, "\r\n\r\n"), startsWith("HTTP/1.1 503"));
            assertThat(attempts().isEmpty(), is(true));
        }
    }

    /** Guards against a stop that takes its whole grace time for an upload whose request it would refuse. */
    @Test
    void uploadThatEndsTooLateDoesNotDelayTheStop() throws Exception {
        publishPlainTarget();
        long beganNanos = System.nanoTime();
        try (Socket caller = front.connect()) {
            FakeTarget.write(caller, upload("stream-upload"));
            front.front().stop();
            assertThat(FrontFixture.readUntil(caller, "\r\n\r\n"), startsWith("HTTP/1.1 503"));
        }
        assertThat(stopped.await(GRACE_MILLIS, TimeUnit.MILLISECONDS), is(true));
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos), lessThan(GRACE_MILLIS / 2));
    }

    /** Guards against closing the connection of a caller whose request was still queued, and so has not run. */
    @Test
    void queuedRequestIsRefusedAtTheEndOfAStop() throws Exception {
        front.publishCatalog(1, 10 * LONG_TIMEOUT_MILLIS, true, OBJECTIVE_MILLIS);
        front.publish("engine", "127.0.0.1", target.port(), 1);
        try (Socket first = front.connect();
                Socket second = front.connect();
                Socket queued = front.connect()) {
            FakeTarget.write(first, FrontFixture.request("POST", "/safe/x", "endless-1", true));
            FrontFixture.await(() -> attempts().size() == 1);
            // One request runs and one waits at the engine, so that the next one is queued at the front.
            FakeTarget.write(second, FrontFixture.request("POST", "/safe/x", "endless-2", true));
            FrontFixture.await(() -> attempts().size() == 2);
            FakeTarget.write(queued, FrontFixture.request("POST", "/unsafe/x", "queued", true));
            front.front().stop();
            String response = FrontFixture.readAll(queued);
            assertThat(response, startsWith("HTTP/1.1 503"));
            assertThat(response, containsString("host-leaving"));
            assertThat(attempts(), contains("endless-1", "endless-2"));
        }
    }

    /**
     * Guards against cutting off a request that was accepted in time and waited until too little of the stop was left.
     */
    @Test
    void requestThatWaitsForTooLongIsNotSentToATarget() throws Exception {
        front.publishCatalog(1, 10 * LONG_TIMEOUT_MILLIS, true, OBJECTIVE_MILLIS);
        front.publish("engine", "127.0.0.1", target.port(), 1);
        try (Socket first = front.connect();
                Socket second = front.connect();
                Socket queued = front.connect()) {
            FakeTarget.write(first, FrontFixture.request("POST", "/stream/x", "stream-first", true));
            FrontFixture.await(() -> attempts().size() == 1);
            FakeTarget.write(second, FrontFixture.request("POST", "/safe/x", "endless", true));
            FrontFixture.await(() -> attempts().size() == 2);
            front.front().stop();
            FakeTarget.write(queued, LONG_REQUEST);
            TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
            firstMayEnd.countDown();
            assertThat(FrontFixture.readAll(queued), startsWith("HTTP/1.1 503"));
            assertThat(attempts(), contains("stream-first", "endless"));
        }
    }

    /** Guards against closing the connection of a caller without a word while its request runs. */
    @Test
    void runningRequestIsAnsweredAtTheEndOfAStop() throws Exception {
        publishPlainTarget();
        try (Socket caller = front.connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/unsafe/x", "endless", true));
            FrontFixture.await(() -> !target.requests().isEmpty());
            front.front().stop();
            assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 502"));
            assertThat(stopped.await(GRACE_MILLIS, TimeUnit.MILLISECONDS), is(true));
        }
    }

    /** Guards against a stop that goes on beyond its grace time, after which the process is killed, as that changes. */
    @Test
    void changedGraceTimeDoesNotExtendABegunStop() throws Exception {
        publishPlainTarget();
        try (Socket caller = front.connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/unsafe/x", "endless", true));
            FrontFixture.await(() -> !target.requests().isEmpty());
            front.front().stop();
            front.reload(2 * GRACE_MILLIS);
            assertThat(stopped.await(GRACE_MILLIS, TimeUnit.MILLISECONDS), is(true));
        }
    }

    private void publishPlainTarget() {
        front.publishCatalog(1, LONG_TIMEOUT_MILLIS);
        front.publish("target", "127.0.0.1", target.port(), 8);
    }

    /** Returns the head of a request with the first chunk of its body. */
    private static String upload(String attempt) {
        return "POST /stream/x HTTP/1.1\r\nHost: h\r\nAttempt: " + attempt + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                + FakeTarget.chunk("part");
    }

    /** Returns the attempts that the target has received, without health checks. */
    private List<String> attempts() {
        return target.requests().stream()
                .map(FakeTarget::attemptId)
                .filter(attempt -> !attempt.isEmpty())
                .toList();
    }
}
