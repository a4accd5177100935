package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests targets that send bytes that are no response, without end. */
class EndlessResponseTest {
    private static final int REQUESTS = 12;
    private static final long MAX_MILLIS = 4_000;
    private static final long MAX_NOISE_BYTES = 8L * 1_024 * 1_024;
    /** Noise after which a target gives up, well above the maximum. */
    private static final long ALL_NOISE_BYTES = 4 * MAX_NOISE_BYTES;

    private static final int PIECE_BYTES = 16 * 1_024;
    private static final int SEND_BUFFER_BYTES = 64 * 1_024;
    private static final FleetLimits LIMITS = new FleetLimits(2, 8_000, 500, 1, 100);
    private static final String HEAD = "HTTP/1.1 200 X\r\nAttempt: %s\r\nSigned: yes\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n";

    /** Where the bytes stand, and the route on which they come. */
    private enum Noise {
        NO_HTTP("GET /safe/", "", "x".repeat(PIECE_BYTES)),
        HEAD_WITHOUT_END("GET /safe/", HEAD, "Noise: " + "x".repeat(100) + "\r\n"),
        INTERIM_RESPONSES("GET /safe/", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        RESPONSES_TO_OTHERS("GET /safe/", "", "HTTP/1.1 200 X\r\nAttempt: other\r\nContent-Length: 0\r\n\r\n"),
        RESPONSE_TO_ANOTHER("GET /safe/", "HTTP/1.1 200 X\r\nAttempt: other\r\n\r\n", "x".repeat(PIECE_BYTES)),
        MALFORMED_HEADS(
                "GET /safe/",
                "HTTP/1.1 200 X\r\nAttempt: other\r\n\r\n",
                "HTTP/1.1 200 X\r\nno header\r\nContent-Length: x\r\n\r\n"),
        CHUNK_EXTENSION("GET /safe/", CHUNKED + "\r\n5;", "x".repeat(PIECE_BYTES)),
        TRAILERS("GET /safe/", CHUNKED + "\r\n0\r\n", "Noise: " + "x".repeat(100) + "\r\n"),
        BODY("GET /safe/", HEAD + "\r\n", "x".repeat(PIECE_BYTES)),
        CHUNKED_BODY("GET /safe/", CHUNKED + "\r\n", FakeTarget.chunk("x".repeat(PIECE_BYTES))),
        CHUNKS_OF_ONE_BYTE("GET /safe/", CHUNKED + "\r\n", FakeTarget.chunk("x").repeat(1_024)),
        EVENT("POST /resumable/", CHUNKED + "\r\n", FakeTarget.chunk("x".repeat(PIECE_BYTES))),
        LINES_OF_AN_EVENT("POST /resumable/", CHUNKED + "\r\n", FakeTarget.chunk("data: x\n".repeat(PIECE_BYTES / 8))),
        LATER_EVENT(
                "POST /resumable/",
                CHUNKED + "\r\n" + FakeTarget.chunk("id: 1\ndata: x\n\n"),
                FakeTarget.chunk("x".repeat(PIECE_BYTES)));

        private final String request;
        private final String beginning;
        private final String piece;

        Noise(String request, String beginning, String piece) {
            this.request = request;
            this.beginning = beginning;
            this.piece = piece;
        }
    }

    private final AtomicLong maxNoiseBytes = new AtomicLong();

    /** Guards against a target whose bytes occupy a front without end, and delay its other requests. */
    @ParameterizedTest
    @EnumSource
    void requestsAreServedElsewhere(Noise noise) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(REQUESTS);
        try (FrontFixture front = new FrontFixture(List.of(), 120, true, LIMITS)) {
            front.target("t0", (request, socket) -> send(noise, request, socket));
            front.target("t1", EndlessResponseTest::serve);
            front.target("t2", EndlessResponseTest::serve);
            front.publishCatalog(LIMITS.attempts(), LIMITS.timeoutMillis(), false, LIMITS.objectiveMillis());
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_MILLIS);
            List<Future<String>> responses = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String[] request = (noise.request + i).split(" ");
                String attempt = "a" + i;
                responses.add(callers.submit(
                        () -> front.exchange(FrontFixture.request(request[0], request[1], attempt, true))));
            }
            int whole = 0;
            for (Future<String> response : responses) {
                whole += isWhole(response.get()) && System.nanoTime() < endNanos ? 1 : 0;
            }
            assertThat("whole in time", whole, is(REQUESTS));
            assertThat("noise of a run", maxNoiseBytes.get(), lessThanOrEqualTo(MAX_NOISE_BYTES));
        } finally {
            callers.shutdownNow();
        }
    }

    private static boolean isWhole(String response) {
        return response.startsWith("HTTP/1.1 200") && (response.endsWith("whole") || response.endsWith("0\r\n\r\n"));
    }

    private void send(Noise noise, String request, Socket socket) throws IOException {
        if (request.contains("/health")) {
            serve(request, socket);
            return;
        }
        socket.setSendBufferSize(SEND_BUFFER_BYTES);
        FakeTarget.write(socket, noise.beginning.formatted(FakeTarget.attemptId(request)));
        long sentBytes = 0;
        try {
            while (sentBytes < ALL_NOISE_BYTES) {
                FakeTarget.write(socket, noise.piece);
                sentBytes += noise.piece.length();
            }
        } finally {
            maxNoiseBytes.accumulateAndGet(sentBytes, Math::max);
        }
    }

    private static void serve(String request, Socket socket) throws IOException {
        if (!request.contains("/resumable/")) {
            FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
            return;
        }
        int event = request.toLowerCase(Locale.ROOT).contains("resume-after: 1") ? 2 : 1;
        FakeTarget.write(
                socket,
                CHUNKED.formatted(FakeTarget.attemptId(request)) + "\r\n"
                        + FakeTarget.chunk("id: " + event + "\ndata: x\n\n") + "0\r\n\r\n");
    }
}
