package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies what becomes of responses without a declared end when their connection ends in order, by what becomes of the
 * target.
 */
class UndeclaredEndTest {
    private static final long DEADLINE_MILLIS = 5_000;
    private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String LAST_EVENT = "id: 3\ndata: c\n\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private static final int REQUESTS = 20;
    private static final int EVENT_CHARACTERS = 10_000;
    /** Together more than the buffers between a target and a caller that does not read hold. */
    private static final int LARGE_EVENTS = 2_000;
    /** Time in which a system closes the connections of a process; longer than a connection takes to be refused. */
    private static final long CLOSING_MILLIS = 20;
    /** Longer than a process needs to start in the place of another one. */
    private static final long LATE_MILLIS = 200;
    /** Enough to show the bound, and fewer than the retry allowance of the fixture. */
    private static final int DOUBTED_STREAMS = 3;

    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger healthChecks = new AtomicInteger();
    private FrontFixture fixture;

    @BeforeEach
    void startFront() {
        fixture = new FrontFixture();
    }

    @AfterEach
    void stopFront() throws IOException {
        fixture.close();
    }

    /** Writes the head of a response without a declared end, and what was written of its body. */
    private static void write(String request, Socket socket, String body) throws IOException {
        FakeTarget.write(
                socket,
                "HTTP/1.1 200 X\r\nAttempt: " + FakeTarget.attemptId(request) + "\r\nSigned: yes\r\n\r\n" + body);
    }

    /**
     * Starts a target that is killed once it has written the given part of the first response of all targets, and
     * resumes streams after the second event and serves others whole otherwise.
     */
    private void target(String id, String part, String whole) throws IOException {
        AtomicReference<FakeTarget> target = new AtomicReference<>();
        target.set(fixture.target(id, (request, socket) -> {
            if (request.contains("/health")) {
                healthChecks.incrementAndGet();
                FakeTarget.write(socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
            } else if (runs.getAndIncrement() == 0) {
                write(request, socket, part);
                target.get().kill();
            } else {
                boolean resumes = request.toLowerCase(Locale.ROOT).contains("resume-after: 2");
                write(request, socket, resumes ? LAST_EVENT : whole);
                socket.close();
            }
        }));
    }

    /** Returns the number of ends after which the target was shown to live on by a health check. */
    private int endsWithHealthCheck() {
        return fixture.front()
                .metrics()
                .scrape()
                .lines()
                .filter(line -> line.startsWith("whinwharf_undeclared_ends_total{target=\"answers\"}"))
                .mapToInt(line -> (int) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Returns the number of connections to a target that stand, as far as the front reads from them. */
    private int openConnections(String targetId) {
        int[] open = new int[1];
        fixture.run(() -> open[0] = fixture.entry(targetId).pool().openDirect().size());
        return open[0];
    }

    private String request(String method, String path, String attempt) throws IOException {
        return fixture.exchange(FrontFixture.request(method, path, attempt, true));
    }

    /** Guards against a stream that reaches its caller as complete though its target was killed between two events. */
    @Test
    void streamOfKilledTargetIsBrokenOff() throws IOException {
        target("t", FIRST_EVENTS, "");
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        String response = request("POST", "/stream/x", "a");
        assertThat(response, containsString("data: b"));
        assertThat(response, not(containsString(LAST_CHUNK)));
    }

    /** Guards against ending a stream that another target could go on with after its target was killed. */
    @Test
    void resumableStreamOfKilledTargetIsResumed() throws IOException {
        target("t", FIRST_EVENTS, "");
        target("u", FIRST_EVENTS, "");
        fixture.publishCatalog(2, DEADLINE_MILLIS);
        String response = request("POST", "/resumable/x", "a");
        assertThat(response.replaceAll("(?m)^[0-9a-f]+\r\n|\r\n", ""), endsWith(FIRST_EVENTS + LAST_EVENT));
        assertThat(response, endsWith(LAST_CHUNK));
    }

    /** Guards against delivering the received part of a plain response as a whole one after its target was killed. */
    @Test
    void plainResponseOfKilledTargetIsNotDelivered() throws IOException {
        target("t", "half", "");
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        assertThat(request("POST", "/unsafe/x", "a"), startsWith("HTTP/1.1 502"));
    }

    /** Guards against failing a request that may be repeated because its target was killed in its response. */
    @Test
    void repeatablePlainRequestOfKilledTargetIsServedElsewhere() throws IOException {
        target("t", "half", "half and half");
        target("u", "half", "half and half");
        fixture.publishCatalog(2, DEADLINE_MILLIS);
        assertThat(request("GET", "/safe/x", "a"), endsWith("\r\n\r\nhalf and half"));
    }

    /** Guards against not delivering, or not in full, what a target that goes on has ended with its connection. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"})
    void responsesOfTargetThatGoesOnAreDelivered(String path) throws IOException {
        runs.set(1);
        target("t", "", FIRST_EVENTS);
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        for (int i = 0; i < REQUESTS; i++) {
            String response = request(path.startsWith("/safe") ? "GET" : "POST", path, "a" + i);
            assertThat(response, startsWith("HTTP/1.1 200"));
            assertThat(response, containsString(FIRST_EVENTS));
            assertThat(
                    response, endsWith(path.contains("able") || path.contains("stream") ? LAST_CHUNK : FIRST_EVENTS));
        }
        assertThat("runs", runs.get(), is(1 + REQUESTS));
        int lateEnds = endsWithHealthCheck();
        assertThat("health checks, of ends that were noticed late", healthChecks.get(), is(lateEnds));
        assertThat("ends that were noticed late", lateEnds, lessThan(REQUESTS));
    }

    /** Guards against discarding a whole response because its target, which is being stopped, listens no more. */
    @Test
    void responseOfTargetThatOnlyStopsListeningIsDelivered() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        AtomicReference<FakeTarget> target = new AtomicReference<>();
        target.set(fixture.target("t", (request, socket) -> {
            if (request.contains("/safe/long")) {
                FrontFixture.awaitLatch(released);
                FakeTarget.write(socket, FakeTarget.answer(request, 200, "long"));
                return;
            }
            target.get().close();
            write(request, socket, "whole");
            socket.close();
        }));
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        try (Socket caller = fixture.connect()) {
            FakeTarget.write(caller, FrontFixture.request("GET", "/safe/long", "a", true));
            FrontFixture.await(() -> target.get().requests().size() == 1);
            assertThat(request("POST", "/unsafe/x", "b"), endsWith("\r\n\r\nwhole"));
            released.countDown();
            assertThat(FrontFixture.readAll(caller), endsWith("\r\n\r\nlong"));
        }
    }

    /** Guards against taking another process at the address of a killed target for that target. */
    @ParameterizedTest
    @ValueSource(strings = {"t", "u"})
    void streamOfReplacedTargetIsBrokenOff(String idAfterwards) throws Exception {
        CountDownLatch replaced = new CountDownLatch(1);
        AtomicReference<FakeTarget> target = new AtomicReference<>();
        target.set(fixture.target("t", (request, socket) -> {
            write(request, socket, FIRST_EVENTS);
            FrontFixture.awaitLatch(replaced);
            socket.close();
        }));
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        try (Socket caller = fixture.connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/stream/x", "a", true));
            FrontFixture.await(() -> target.get().requests().size() == 1);
            fixture.publish(idAfterwards, fixture.ip(), target.get().port(), 8, 2);
            replaced.countDown();
            assertThat(FrontFixture.readAll(caller), not(containsString(LAST_CHUNK)));
        }
    }

    /**
     * Guards against taking other connections of a killed target for its sign of life, which its system closes a little
     * later than the one whose response ended.
     */
    @Test
    void connectionsThatAreAboutToEndShowNothing() throws Exception {
        AtomicReference<FakeTarget> target = new AtomicReference<>();
        target.set(fixture.target("t", (request, socket) -> {
            write(request, socket, FIRST_EVENTS);
            // The front opens a second connection beside a response without a declared end.
            awaitSecondConnection(target.get());
            target.get().kill(socket, CLOSING_MILLIS);
        }));
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        assertThat(request("POST", "/stream/x", "a"), not(containsString(LAST_CHUNK)));
    }

    private void awaitSecondConnection(FakeTarget target) throws IOException {
        try {
            FrontFixture.await(() -> openConnections("t") > 1 && target.connectionCount() > 1);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Guards against taking a connection that is not read, since its caller is slow, for one that stands. */
    @Test
    void connectionThatIsNotReadShowsNothing() throws Exception {
        AtomicReference<FakeTarget> target = new AtomicReference<>();
        CountDownLatch filled = new CountDownLatch(1);
        target.set(fixture.target("t", (request, socket) -> {
            write(request, socket, FIRST_EVENTS);
            if (request.contains("/stream/large")) {
                String event = "data: " + "x".repeat(EVENT_CHARACTERS) + "\n\n";
                for (int i = 0; i < LARGE_EVENTS; i++) {
                    FakeTarget.write(socket, event);
                }
            }
            FrontFixture.awaitLatch(filled);
            target.get().kill();
        }));
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        try (Socket slow = fixture.connect();
                Socket caller = fixture.connect()) {
            FakeTarget.write(slow, FrontFixture.request("POST", "/stream/large", "a", true));
            FrontFixture.await(() -> target.get().connectionCount() > openConnections("t"));
            FakeTarget.write(caller, FrontFixture.request("POST", "/stream/x", "b", true));
            FrontFixture.readUntil(caller, "data: b\n\n");
            filled.countDown();
            assertThat(FrontFixture.readAll(caller), not(containsString(LAST_CHUNK)));
        }
    }

    /**
     * Guards against taking the process after a killed target for that target when a busy front notices the end late,
     * and against discarding the response of a full target, which rejects health checks.
     */
    @ParameterizedTest
    @CsvSource({"200, 200", "503, 200", "421, 502"})
    void endThatIsNoticedLateIsConfirmedByItsTarget(int healthStatus, int expectedStatus) throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        FakeTarget target = fixture.target("t", (request, socket) -> {
            if (request.contains("/health")) {
                FakeTarget.write(socket, "HTTP/1.1 " + healthStatus + " X\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            FrontFixture.awaitLatch(released);
            write(request, socket, "whole");
            socket.close();
        });
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        try (Socket caller = fixture.connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/unsafe/x", "a", true));
            FrontFixture.await(() -> target.requests().size() == 1);
            CountDownLatch unblock = fixture.blockThread();
            released.countDown();
            target.closedConnections().take();
            TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
            unblock.countDown();
            assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 " + expectedStatus));
        }
    }

    /** Guards against the same at a front that reaches the target through a peer only, and against losing the whole. */
    @Test
    void responseThatIsRelayedIsCompleteOnlyIfItsTargetLivesOn() throws Exception {
        try (FrontFixture peer = new FrontFixture(List.of(fixture.ip()));
                FakeTarget refused = new FakeTarget(fixture.ip(), (request, socket) -> {})) {
            int closedPort = refused.port();
            refused.close();
            AtomicReference<FakeTarget> target = new AtomicReference<>();
            target.set(peer.target("t", (request, socket) -> {
                write(request, socket, FIRST_EVENTS);
                if (request.contains("/stream/killed")) {
                    target.get().kill();
                } else {
                    socket.close();
                }
            }));
            peer.target("other", (request, socket) -> {});
            fixture.publish("t", fixture.ip(), closedPort, 8);
            fixture.publishCatalog(1, DEADLINE_MILLIS);
            peer.publishCatalog(1, DEADLINE_MILLIS);
            FrontFixture.await(() -> fixture.advertisedFronts() == 2);
            assertThat(request("POST", "/stream/whole", "a"), endsWith(LAST_CHUNK));
            String broken = request("POST", "/stream/killed", "b");
            assertThat(broken, containsString("data: b"));
            assertThat(broken, not(containsString(LAST_CHUNK)));
        }
    }

    /** Ways in which a target that lives on breaks off a response, as the front notices. */
    private enum BreakOff {
        DECLARED_LENGTH {
            @Override
            void write(String request, Socket socket) throws IOException {
                FakeTarget.write(socket, head(request) + "Content-Length: 20\r\n\r\nhalf");
                socket.close();
            }
        },
        CHUNKS {
            @Override
            void write(String request, Socket socket) throws IOException {
                FakeTarget.write(
                        socket, head(request) + "Transfer-Encoding: chunked\r\n\r\n" + FakeTarget.chunk("half"));
                socket.close();
            }
        },
        RESET {
            @Override
            void write(String request, Socket socket) throws IOException {
                FakeTarget.write(socket, head(request) + "\r\nhalf");
                socket.setSoLinger(true, 0);
                socket.close();
            }
        };

        /** Writes the part of a response that is broken off. */
        abstract void write(String request, Socket socket) throws IOException;

        private static String head(String request) {
            return "HTTP/1.1 200 X\r\nAttempt: " + FakeTarget.attemptId(request) + "\r\nSigned: yes\r\n";
        }
    }

    /** What a target answers to a request that resumes a stream. */
    private enum Continuation {
        LAST_EVENT(UndeclaredEndTest.LAST_EVENT, 200),
        NOTHING("", 200) {
            @Override
            void write(String request, Socket socket) throws IOException {
                FakeTarget.write(
                        socket,
                        "HTTP/1.1 200 X\r\nAttempt: " + FakeTarget.attemptId(request)
                                + "\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n");
            }
        },
        NOTHING_UNDECLARED("", 200),
        FAILURE("failed", 500),
        REJECTION("", 503) {
            @Override
            void write(String request, Socket socket) throws IOException {
                FakeTarget.write(
                        socket,
                        "HTTP/1.1 503 X\r\nAttempt: " + FakeTarget.attemptId(request)
                                + "\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n");
            }
        },
        CLOSE("", 0) {
            @Override
            void write(String request, Socket socket) {
                // The connection is closed without a response.
            }
        },
        SILENCE("", 0) {
            @Override
            void write(String request, Socket socket) throws IOException {
                socket.getInputStream().read();
            }
        };

        private final String body;
        private final int status;

        Continuation(String body, int status) {
            this.body = body;
            this.status = status;
        }

        /** Writes the response; the connection is closed afterwards. */
        void write(String request, Socket socket) throws IOException {
            FakeTarget.write(
                    socket,
                    "HTTP/1.1 " + status + " X\r\nAttempt: " + FakeTarget.attemptId(request) + "\r\nSigned: yes\r\n\r\n"
                            + body);
        }

        /** Returns the events of a stream whose first ones are continued so. */
        String events() {
            return this == LAST_EVENT ? FIRST_EVENTS + body : FIRST_EVENTS;
        }
    }

    /**
     * Starts a target that lives on, breaks off responses to repeatable requests, and ends streams without a declared
     * end after the second event. Streams that are resumed after it are answered as given.
     */
    private void breakingTarget(String id, BreakOff breakOff, Continuation continuation) throws IOException {
        fixture.target(id, (request, socket) -> {
            if (request.contains("/health")) {
                FakeTarget.write(socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            runs.getAndIncrement();
            if (request.contains("/safe/")) {
                breakOff.write(request, socket);
                return;
            }
            if (request.toLowerCase(Locale.ROOT).contains("resume-after: 2")) {
                continuation.write(request, socket);
            } else {
                write(request, socket, FIRST_EVENTS);
            }
            socket.close();
        });
    }

    private static String events(String response) {
        return response.substring(response.indexOf("\r\n\r\n") + 4).replaceAll("(?m)^[0-9a-f]+\r\n|\r\n", "");
    }

    /** Guards against a stream that is complete at its caller though its target, which lives on, broke it off. */
    @ParameterizedTest
    @EnumSource(BreakOff.class)
    void streamOfTargetThatBreaksOffResponsesIsResumed(BreakOff breakOff) throws IOException {
        breakingTarget("t", breakOff, Continuation.LAST_EVENT);
        breakingTarget("u", breakOff, Continuation.LAST_EVENT);
        fixture.publishCatalog(2, DEADLINE_MILLIS);
        // Both targets break it off.
        request("GET", "/safe/x", "a");
        for (int i = 0; i < DOUBTED_STREAMS; i++) {
            String response = request("POST", "/resumable/x", "b" + i);
            assertThat(events(response), is(FIRST_EVENTS + LAST_EVENT));
            assertThat(response, endsWith(LAST_CHUNK));
        }
    }

    /** Guards against breaking off a whole stream because the target that was asked for the rest of it has none. */
    @ParameterizedTest
    @EnumSource(Continuation.class)
    void streamThatCannotBeContinuedIsComplete(Continuation continuation) throws IOException {
        breakingTarget("t", BreakOff.DECLARED_LENGTH, continuation);
        breakingTarget("u", BreakOff.DECLARED_LENGTH, continuation);
        fixture.publishCatalog(2, DEADLINE_MILLIS);
        request("GET", "/safe/x", "a");
        runs.set(0);
        long sentAtNanos = System.nanoTime();
        String response = request("POST", "/resumable/x", "b");
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos);
        assertThat(events(response), is(continuation.events()));
        assertThat(response, endsWith(LAST_CHUNK));
        assertThat("runs", runs.get(), is(2));
        assertThat("milliseconds", tookMillis, lessThan(DEADLINE_MILLIS / 2));
    }

    /** Guards against losing a whole stream where no other target is left, or the retry budget is used up. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamThatMayNotBeResumedIsComplete(boolean budgetUsedUp) throws IOException {
        breakingTarget("t", BreakOff.DECLARED_LENGTH, Continuation.LAST_EVENT);
        if (budgetUsedUp) {
            breakingTarget("u", BreakOff.DECLARED_LENGTH, Continuation.LAST_EVENT);
        }
        fixture.publishCatalog(2, DEADLINE_MILLIS);
        request("GET", "/safe/x", "a");
        if (budgetUsedUp) {
            fixture.reload(0, 0);
        }
        runs.set(0);
        String response = request("POST", "/resumable/x", "b");
        assertThat(events(response), is(FIRST_EVENTS));
        assertThat(response, endsWith(LAST_CHUNK));
        assertThat("runs", runs.get(), is(1));
    }

    /** Guards against a second run of each whole stream of targets that end none before its last event. */
    @Test
    void streamsOfTargetsThatBreakOffNoResponseRunOnce() throws IOException {
        runs.set(1);
        target("t", "", FIRST_EVENTS);
        target("u", "", FIRST_EVENTS);
        fixture.publishCatalog(2, DEADLINE_MILLIS);
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(request("POST", "/resumable/x", "a" + i), endsWith(LAST_CHUNK));
        }
        assertThat("runs", runs.get(), is(1 + REQUESTS));
    }
}
