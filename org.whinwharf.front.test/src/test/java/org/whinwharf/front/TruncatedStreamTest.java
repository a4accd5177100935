package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies what becomes of event streams that a target breaks off, by how the response is framed and ends. */
class TruncatedStreamTest {
    private static final long DEADLINE_MILLIS = 5_000;
    private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String LAST_EVENT = "id: 3\ndata: c\n\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;
    /** More than the buffers of both sockets hold, so that a part of the request stays unsent. */
    private static final int LARGE_BODY_BYTES = 4_000_000;

    private FrontFixture fixture;

    /** Framing of a response that a target can end in order at any point. */
    private enum Framing {
        CHUNKED {
            @Override
            void write(Socket socket, String attempt, String... parts) throws IOException {
                FakeTarget.write(socket, head(attempt, "Transfer-Encoding: chunked\r\n"));
                for (String part : parts) {
                    FakeTarget.write(socket, FakeTarget.chunk(part));
                }
                FakeTarget.write(socket, "0\r\n\r\n");
            }
        },
        UNTIL_CLOSE {
            @Override
            void write(Socket socket, String attempt, String... parts) throws IOException {
                FakeTarget.write(socket, head(attempt, ""));
                for (String part : parts) {
                    FakeTarget.write(socket, part);
                }
                socket.close();
            }
        };

        /** Writes a complete response whose body consists of the given parts. */
        abstract void write(Socket socket, String attempt, String... parts) throws IOException;

        private static String head(String attempt, String framingHeader) {
            return "HTTP/1.1 200 X\r\nAttempt: " + attempt + "\r\nSigned: yes\r\n" + framingHeader + "\r\n";
        }
    }

    @BeforeEach
    void startFront() {
        fixture = new FrontFixture();
    }

    @AfterEach
    void stopFront() throws IOException {
        fixture.close();
    }

    /** Guards against a stream that its target ended inside an event and that reaches its caller as complete. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 1\ndata: a\n\nid: 2\nda",
                "id: 1\ndata: a\n\nid: 2\n",
                "id: 1\ndata: a\n",
                "id: 1\r\ndata: a\r\n\r",
                "id"
            })
    void streamEndingInsideEventIsBrokenOffAtCaller(String body) throws IOException {
        for (Framing framing : Framing.values()) {
            fixture.target(
                    framing.name(), (request, socket) -> framing.write(socket, FakeTarget.attemptId(request), body));
        }
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        for (int i = 0; i < 2 * Framing.values().length; i++) {
            String response = fixture.exchange(FrontFixture.request("POST", "/stream/x", "a" + i, true));
            assertThat(response, containsString("200"));
            assertThat(response, not(containsString(LAST_CHUNK)));
        }
    }

    /** Guards against breaking off a complete stream, wherever its bytes are divided. */
    @ParameterizedTest
    @EnumSource
    void streamEndingAtEventBoundaryIsCompleteAtCaller(Framing framing) throws IOException {
        String body = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
        fixture.target("t", (request, socket) -> {
            String attempt = FakeTarget.attemptId(request);
            int split = Integer.parseInt(attempt);
            framing.write(socket, attempt, body.substring(0, split), body.substring(split));
        });
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        for (String path : new String[] {"/stream/x", "/resumable/x"}) {
            for (int split = 1; split < body.length(); split++) {
                String response = fixture.exchange(FrontFixture.request("POST", path, String.valueOf(split), true));
                assertThat(response, endsWith(LAST_CHUNK));
            }
        }
        assertThat(fixture.front().metrics().scrape(), containsString("whinwharf_ejections_total 0.0"));
    }

    /** Guards against breaking off a resumable stream that its target ended inside an event, with attempts left. */
    @ParameterizedTest
    @EnumSource
    void resumableStreamEndingInsideEventIsResumed(Framing framing) throws IOException {
        AtomicInteger resumed = new AtomicInteger();
        FakeTarget.Script script = (request, socket) -> {
            String attempt = FakeTarget.attemptId(request);
            if (request.toLowerCase(Locale.ROOT).contains("resume-after: 2")) {
                resumed.incrementAndGet();
                framing.write(socket, attempt, LAST_EVENT);
            } else {
                framing.write(socket, attempt, FIRST_EVENTS, "id: 3\nda");
            }
        };
        assertThatResumableStreamIsWhole(script);
        assertThat(resumed.get(), is(1));
    }

    /** Guards against breaking off a resumable stream of which its caller has no event yet, with attempts left. */
    @ParameterizedTest
    @ValueSource(strings = {"", "id: 1\nda"})
    void resumableStreamWithoutCompleteEventIsStartedAgain(String received) throws IOException {
        AtomicInteger runs = new AtomicInteger();
        FakeTarget.Script script = (request, socket) -> {
            String attempt = FakeTarget.attemptId(request);
            if (runs.getAndIncrement() == 0) {
                FakeTarget.write(socket, Framing.head(attempt, "Content-Length: 1000\r\n") + received);
                socket.close();
            } else {
                Framing.CHUNKED.write(socket, attempt, FIRST_EVENTS, LAST_EVENT);
            }
        };
        assertThatResumableStreamIsWhole(script);
        assertThat(runs.get(), is(2));
    }

    /** Sends a request for a resumable stream to two targets with the same script. */
    private void assertThatResumableStreamIsWhole(FakeTarget.Script script) throws IOException {
        fixture.target("t", script);
        fixture.target("u", script);
        fixture.publishCatalog(2, DEADLINE_MILLIS);
        String response = fixture.exchange(FrontFixture.request("POST", "/resumable/x", "a", true));
        String events = response.replaceAll("(?m)^[0-9a-f]+\r\n|\r\n", "");
        assertThat(events, endsWith(FIRST_EVENTS + LAST_EVENT));
        assertThat(response, endsWith(LAST_CHUNK));
    }

    /** Guards against counting a truncated stream as answered, which keeps a target that truncates streams in use. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resumable/x"})
    void truncatedStreamCountsAsFailureOfItsTarget(String path) throws IOException {
        fixture.target(
                "t",
                (request, socket) ->
                        Framing.UNTIL_CLOSE.write(socket, FakeTarget.attemptId(request), FIRST_EVENTS, "id: 3\nda"));
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        for (int i = 0; i < 2; i++) {
            fixture.exchange(FrontFixture.request("POST", path, "a" + i, true));
        }
        String metrics = fixture.front().metrics().scrape();
        assertThat(metrics, containsString("whinwharf_answers_total 0.0"));
        assertThat(metrics, containsString("whinwharf_answers_cut_total{cause=\"part-of-event\"} 2.0"));
        assertThat(metrics, containsString("whinwharf_ejections_total 1.0"));
    }

    /** Guards against taking the end of a connection for the end of a stream of which no event has arrived. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resumable/x"})
    void streamWithoutEventThatEndsWithItsConnectionIsBrokenOff(String path) throws IOException {
        FakeTarget target = fixture.target(
                "t", (request, socket) -> Framing.UNTIL_CLOSE.write(socket, FakeTarget.attemptId(request)));
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        String response = fixture.exchange(FrontFixture.request("POST", path, "a", true));
        assertThat(response, not(containsString(LAST_CHUNK)));
        assertThat(target.requests(), hasSize(1));
    }

    /**
     * Guards against reading a reset as an end of input: a failed write of the request consumes the error, and the
     * response ends at an event boundary as far as it was received.
     */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/resumable/x"})
    void streamWhoseConnectionIsResetDuringWriteOfRequestIsBrokenOff(String path) throws Exception {
        assertThat(responseToRequestWhoseWriteFails(path), not(containsString(LAST_CHUNK)));
    }

    /** Guards against the same reset making the part received of a plain response look like all of it. */
    @Test
    void plainResponseWhoseConnectionIsResetDuringWriteOfRequestIsNotDelivered() throws Exception {
        assertThat(responseToRequestWhoseWriteFails("/unsafe/x"), startsWith("HTTP/1.1 502"));
    }

    /**
     * The target begins its response, and resets the connection while it has not read all of the request. The front's
     * thread is blocked meanwhile, so that it finds the connection both writable and readable, and writes first.
     */
    private String responseToRequestWhoseWriteFails(String path) throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        FakeTarget.Script script = (request, socket) -> {
            FakeTarget.write(socket, Framing.head(FakeTarget.attemptId(request), "") + FIRST_EVENTS);
            FrontFixture.awaitLatch(received);
            socket.setSoLinger(true, 0);
            socket.close();
        };
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        try (FakeTarget target = new FakeTarget(fixture.ip(), script, SMALL_RECEIVE_BUFFER_BYTES);
                Socket caller = fixture.connect()) {
            fixture.publish("t", fixture.ip(), target.port(), 1);
            FakeTarget.write(
                    caller,
                    FrontFixture.request("POST", path, "a", true)
                            .replace("Content-Length: 0", "Content-Length: " + LARGE_BODY_BYTES));
            FakeTarget.write(caller, "x".repeat(LARGE_BODY_BYTES));
            FrontFixture.await(() -> fixture.front().metrics().scrape().contains("whinwharf_first_byte_seconds_count"));
            CountDownLatch unblock = fixture.blockThread();
            received.countDown();
            target.closedConnections().take();
            unblock.countDown();
            return FrontFixture.readAll(caller);
        }
    }

    /** Guards against reusing a connection whose response lasts until the target closes it. */
    @Test
    void connectionOfUnframedResponseIsNotReused() throws IOException {
        FakeTarget target = fixture.target(
                "t", (request, socket) -> Framing.UNTIL_CLOSE.write(socket, FakeTarget.attemptId(request), LAST_EVENT));
        fixture.publishCatalog(1, DEADLINE_MILLIS);
        for (int i = 0; i < 20; i++) {
            String response = fixture.exchange(FrontFixture.request("POST", "/stream/x", "a" + i, true));
            assertThat(response, endsWith(LAST_CHUNK));
        }
        List<String> streams = target.requests().stream()
                .filter(request -> !request.contains("/health"))
                .toList();
        assertThat(streams, hasSize(20));
    }
}
