package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests targets that send a part of an earlier response, or one without the id of its attempt, on a kept connection.
 */
class StrayResponseTest {
    private static final int CALLERS = 6;
    private static final int REQUESTS = 120;
    private static final int TARGETS = 2;
    /** Every how many runs one fails, and every how many requests one is rejected. */
    private static final int FAILURE_INTERVAL = 5;

    private static final int REJECTION_INTERVAL = 7;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 4;
    /** Length that a head declares whose body never follows; longer than the responses after it. */
    private static final int MISSING_BODY_BYTES = 400;

    /** What a target sends a second time. */
    private enum Stray {
        INSIDE_STATUS_LINE {
            @Override
            String of(Response response) {
                return response.text().substring(0, 14);
            }
        },
        STATUS_LINE {
            @Override
            String of(Response response) {
                return response.statusLine();
            }
        },
        INSIDE_ATTEMPT {
            @Override
            String of(Response response) {
                return response.statusLine() + "Attempt: " + response.attempt().substring(0, 1);
            }
        },
        AFTER_ATTEMPT {
            @Override
            String of(Response response) {
                return response.statusLine() + response.attemptLine();
            }
        },
        LENGTH_BEFORE_ATTEMPT {
            @Override
            String of(Response response) {
                return response.statusLine() + "Signed: yes\r\nContent-Length: " + MISSING_BODY_BYTES + "\r\n";
            }
        },
        INSIDE_BODY {
            @Override
            String of(Response response) {
                return response.statusLine() + response.attemptLine() + "Signed: yes\r\nContent-Length: "
                        + MISSING_BODY_BYTES + "\r\n\r\nhalf";
            }
        },
        INSIDE_CHUNK {
            @Override
            String of(Response response) {
                return response.statusLine() + response.attemptLine()
                        + "Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n" + "fff\r\nhalf";
            }
        },
        WITHOUT_END {
            @Override
            String of(Response response) {
                return response.statusLine() + response.attemptLine() + "Signed: yes\r\n\r\nbody";
            }
        },
        UNNAMED {
            @Override
            String of(Response response) {
                return response.text().replace(response.attemptLine(), "");
            }
        },
        UNNAMED_OTHER_STATUS {
            @Override
            String of(Response response) {
                int other = response.status() == 200 ? 500 : 200;
                return new Response(response.attempt(), other, response.body())
                        .text()
                        .replace(response.attemptLine(), "");
            }
        };

        abstract String of(Response response);
    }

    /** When the stray bytes are sent. */
    private enum Timing {
        WITH_RESPONSE,
        SOON,
        BEFORE_NEXT
    }

    /** A response of a target. */
    private record Response(String attempt, int status, String body) {
        String statusLine() {
            return "HTTP/1.1 " + status + " Status\r\n";
        }

        String attemptLine() {
            return "Attempt: " + attempt + "\r\n";
        }

        String text() {
            return statusLine() + attemptLine() + (status == 503 ? "Not-Run: 1\r\n" : "Signed: yes\r\n")
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
    }

    /** A target that names every response, and sends some stray bytes after each or before the next one. */
    private static final class StutteringTarget {
        private final Stray stray;
        private final Timing timing;
        private final Map<String, Response> runs;
        private final Map<Socket, String> pending = new ConcurrentHashMap<>();
        private final AtomicInteger received = new AtomicInteger();
        private final ExecutorService later;

        StutteringTarget(Stray stray, Timing timing, Map<String, Response> runs, ExecutorService later) {
            this.stray = stray;
            this.timing = timing;
            this.runs = runs;
            this.later = later;
        }

        void answer(String request, Socket socket) throws IOException {
            Response response = responseTo(request);
            String text = response.text();
            String second = stray.of(response);
            synchronized (socket) {
                switch (timing) {
                    case WITH_RESPONSE -> FakeTarget.write(socket, text + second);
                    case BEFORE_NEXT -> {
                        String before = pending.put(socket, second);
                        FakeTarget.write(socket, (before == null ? "" : before) + text);
                    }
                    default -> {
                        FakeTarget.write(socket, text);
                        later.execute(() -> writeLater(socket, second));
                    }
                }
            }
        }

        private static void writeLater(Socket socket, String text) {
            try {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                synchronized (socket) {
                    FakeTarget.write(socket, text);
                }
            } catch (IOException e) {
                // The front has closed the connection.
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private Response responseTo(String request) {
            String attempt = FakeTarget.attemptId(request);
            int number = received.incrementAndGet();
            if (number % REJECTION_INTERVAL == 0) {
                return new Response(attempt, 503, "full");
            }
            Response response = number % FAILURE_INTERVAL == 0
                    ? new Response(attempt, 500, "failed-" + attempt)
                    : new Response(attempt, 200, "ran-" + attempt);
            runs.put(attempt, response);
            return response;
        }
    }

    static Stream<Arguments> plays() {
        return Stream.of(Stray.values())
                .flatMap(stray -> Stream.of(Timing.values()).map(timing -> Arguments.of(stray, timing)));
    }

    /** Guards against stray bytes of a target that are taken for the response to the next request, or a part of it. */
    @ParameterizedTest
    @MethodSource("plays")
    void strayBytesAreNotTakenForTheNextResponse(Stray stray, Timing timing) throws Exception {
        Map<String, Response> runs = new ConcurrentHashMap<>();
        List<String> wrong = new CopyOnWriteArrayList<>();
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        ExecutorService later = Executors.newCachedThreadPool();
        try (FrontFixture fixture = new FrontFixture()) {
            for (int i = 0; i < TARGETS; i++) {
                fixture.target("t" + i, new StutteringTarget(stray, timing, runs, later)::answer);
            }
            fixture.publishCatalog(TARGETS, TIMEOUT_MILLIS);
            List<Future<?>> pending = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String attempt = "a" + i;
                pending.add(callers.submit(() -> call(fixture, attempt, runs).ifPresent(wrong::add)));
            }
            for (Future<?> call : pending) {
                call.get();
            }
            assertThat(wrong, empty());
        } finally {
            callers.shutdownNow();
            later.shutdownNow();
        }
        assertThat("requests that ran", runs.size(), greaterThan(REQUESTS / 2));
    }

    /** Guards against a second copy of a rejection that names the attempt which is sent to its target once more. */
    @Test
    void rejectedAttemptIsNotSentToItsTargetAgain() throws Exception {
        Map<String, Integer> received = new ConcurrentHashMap<>();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                String attempt = FakeTarget.attemptId(request);
                received.merge(attempt, 1, Integer::sum);
                FakeTarget.write(socket, new Response(attempt, 503, "full").text());
            });
            fixture.publishCatalog(TARGETS, TIMEOUT_MILLIS);
            for (int i = 0; i < FAILURE_INTERVAL; i++) {
                fixture.exchange(FrontFixture.request("POST", "/unsafe/x", "a" + i, true));
            }
        }
        assertThat(received.size(), is(FAILURE_INTERVAL));
        assertThat(received.values(), everyItem(is(1)));
    }

    /** Guards against an earlier response without an id that is taken for the answer to a health check. */
    @Test
    void healthCheckIsNotSentOverAConnectionThatHasCarriedRequests() throws Exception {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        List<Boolean> checksOverUsed = new CopyOnWriteArrayList<>();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                if (request.contains("/health")) {
                    checksOverUsed.add(used.contains(socket));
                    FakeTarget.write(socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
                } else {
                    used.add(socket);
                    FakeTarget.write(socket, new Response(FakeTarget.attemptId(request), 200, "ran").text());
                }
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            for (int i = 0; i < FAILURE_INTERVAL; i++) {
                fixture.exchange(FrontFixture.request("POST", "/unsafe/x", "a" + i, true));
                int before = checksOverUsed.size();
                fixture.run(() -> fixture.front().probe(fixture.front().entry("t")));
                FrontFixture.await(() -> checksOverUsed.size() > before);
            }
        }
        assertThat(checksOverUsed, everyItem(is(false)));
    }

    /** Sends a request that may run once, and returns what is wrong with its response. */
    private static Optional<String> call(FrontFixture fixture, String attempt, Map<String, Response> runs) {
        String received;
        try {
            received = fixture.exchange(FrontFixture.request("POST", "/unsafe/x", attempt, true));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Response ran = runs.get(attempt);
        boolean right = ran == null
                ? received.startsWith("HTTP/1.1 503")
                : received.startsWith("HTTP/1.1 " + ran.status()) && received.endsWith("\r\n\r\n" + ran.body());
        return right ? Optional.empty() : Optional.of(attempt + " ran as " + ran + ": " + received);
    }
}
