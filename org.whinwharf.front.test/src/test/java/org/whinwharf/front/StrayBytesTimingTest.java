package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests kept connections to targets whose bytes arrive in several reads, or whose responses lack a name. */
class StrayBytesTimingTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 30;
    private static final int REQUESTS = 20;
    private static final int MAX_CONNECTIONS = 6;
    private static final int MAX_HEADER_BYTES = 32_768;

    /** Writes text in two parts that arrive in reads of their own. */
    private static void writeApart(Socket socket, String first, String second) throws IOException {
        FakeTarget.write(socket, first);
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        FakeTarget.write(socket, second);
    }

    private static String call(FrontFixture fixture, String attempt) throws IOException {
        return fixture.exchange(FrontFixture.request("POST", "/unsafe/x", attempt, true));
    }

    /** Guards against the status of a response that was cut off behind an empty line. */
    @Test
    void statusOfAResponseCutOffBehindAnEmptyLineIsNotDelivered() throws Exception {
        AtomicInteger received = new AtomicInteger();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                if (received.incrementAndGet() == 1) {
                    FakeTarget.write(socket, FakeTarget.answer(request, 200, "first"));
                } else {
                    writeApart(socket, "\r\n", "HTTP/1.1 200 X" + FakeTarget.answer(request, 500, "second"));
                }
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            assertThat(call(fixture, "a1"), endsWith("first"));
            assertThat(call(fixture, "a2"), startsWith("HTTP/1.1 500"));
        }
    }

    /** Guards against a sound response that is lost as the bytes before it arrive in a read of their own. */
    @ParameterizedTest
    @ValueSource(strings = {"irst", "HTTP/1.1 2"})
    void responseBehindOtherBytesIsDelivered(String other) throws Exception {
        assertResponseIsDeliveredBehind(other);
    }

    /** Guards against a sound response that is lost as lines that are no head arrive before it. */
    @Test
    void responseBehindOtherLinesIsDelivered() throws Exception {
        assertResponseIsDeliveredBehind("0\r\n\r\n");
    }

    private static void assertResponseIsDeliveredBehind(String other) throws Exception {
        AtomicInteger received = new AtomicInteger();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                if (received.incrementAndGet() == 1) {
                    FakeTarget.write(socket, FakeTarget.answer(request, 200, "first"));
                } else {
                    writeApart(socket, other, FakeTarget.answer(request, 200, "second"));
                }
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            assertThat(call(fixture, "a1"), endsWith("first"));
            assertThat(call(fixture, "a2"), endsWith("second"));
        }
    }

    /**
     * Guards against a failure without a name, of a target that names its successes, that is awaited to the timeout.
     */
    @Test
    void unnamedFailureOverAKeptConnectionIsAnsweredBeforeTheTimeout() throws Exception {
        AtomicInteger received = new AtomicInteger();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target(
                    "t",
                    (request, socket) -> FakeTarget.write(
                            socket,
                            received.incrementAndGet() == 1
                                    ? FakeTarget.answer(request, 200, "first")
                                    : "HTTP/1.1 500 X\r\nSigned: yes\r\nContent-Length: 6\r\n\r\nfailed"));
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            assertThat(call(fixture, "a1"), endsWith("first"));
            long startNanos = System.nanoTime();
            String response = call(fixture, "a2");
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertThat(response, elapsedMillis, lessThan(TIMEOUT_MILLIS / 2));
        }
    }

    /** Guards against connections that are never kept again after one response without a name. */
    @Test
    void connectionsAreKeptAfterOneResponseWithoutName() throws Exception {
        Set<Socket> connections = ConcurrentHashMap.newKeySet();
        AtomicInteger received = new AtomicInteger();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                if (request.contains("/health")) {
                    FakeTarget.write(socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                connections.add(socket);
                String answer = FakeTarget.answer(request, 200, "ran");
                FakeTarget.write(
                        socket,
                        received.incrementAndGet() == 1
                                ? answer.replace("Attempt: " + FakeTarget.attemptId(request) + "\r\n", "")
                                : answer);
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(call(fixture, "a" + i), endsWith("ran"));
            }
        }
        assertThat(connections.size(), lessThanOrEqualTo(MAX_CONNECTIONS));
    }

    /** Guards against a status line in a field of a response that takes the place of the response's own. */
    @Test
    void statusLineInAFieldIsNotTheStatus() throws Exception {
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target(
                    "t",
                    (request, socket) -> FakeTarget.write(
                            socket,
                            FakeTarget.answer(request, 500, "failed")
                                    .replace("Attempt:", "Upstream: HTTP/1.1 200 OK\r\nAttempt:")));
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            assertThat(call(fixture, "a1"), startsWith("HTTP/1.1 500"));
        }
    }

    /** Guards against a head at the limit behind which the head of the next response is not found. */
    @Test
    void responseAfterAHeadAtTheLimitIsDelivered() throws Exception {
        AtomicInteger received = new AtomicInteger();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                String answer = FakeTarget.answer(request, 200, "ran");
                int limited = answer.indexOf("\r\n\r\n") - answer.indexOf("Attempt") - 2 * 2;
                String fill = "Fill: " + "f".repeat(MAX_HEADER_BYTES - limited - "Fill: ".length()) + "\r\n";
                if (received.incrementAndGet() == 1) {
                    String large = answer.replace("Signed", fill + "Signed");
                    int end = large.indexOf("\r\n\r\n");
                    writeApart(socket, large.substring(0, end), large.substring(end));
                } else {
                    FakeTarget.write(socket, answer);
                }
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            assertThat(call(fixture, "a1"), endsWith("ran"));
            assertThat(call(fixture, "a2"), endsWith("ran"));
        }
    }

    /** Guards against healthy connections that are closed for an empty line behind each response. */
    @Test
    void connectionsAreKeptBehindEmptyLines() throws Exception {
        Set<Socket> connections = ConcurrentHashMap.newKeySet();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                connections.add(socket);
                FakeTarget.write(socket, FakeTarget.answer(request, 200, "ran") + "\r\n");
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(call(fixture, "a" + i), endsWith("ran"));
            }
        }
        assertThat(connections.size(), lessThanOrEqualTo(MAX_CONNECTIONS));
    }

    /** Guards against a target that repeats its responses at once without a trace in the metrics. */
    @Test
    void bytesBehindAResponseAreCounted() throws Exception {
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                String answer = FakeTarget.answer(request, 200, "ran");
                FakeTarget.write(socket, answer + answer);
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            assertThat(call(fixture, "a"), endsWith("ran"));
            assertThat(fixture.counter("whinwharf_responses_unmatched_total"), is(1.0));
        }
    }
}
