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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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
    private static final Pattern RESUMED = Pattern.compile("(?i)resume-after: (\\d+)");
    private static final int MAX_EVENTS = 5;
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
                return response.withOtherStatus().text().replace(response.attemptLine(), "");
            }
        },
        UNNAMED_INSIDE_BODY {
            @Override
            String of(Response response) {
                return INSIDE_BODY.of(response).replace(response.attemptLine(), "");
            }
        },
        WHOLE {
            @Override
            String of(Response response) {
                return response.text();
            }
        },
        WHOLE_OTHER_STATUS {
            @Override
            String of(Response response) {
                return response.withOtherStatus().text();
            }
        },
        PART_AND_WHOLE {
            @Override
            String of(Response response) {
                return AFTER_ATTEMPT.of(response) + response.text();
            }
        },
        WHOLE_AND_PART {
            @Override
            String of(Response response) {
                return response.text() + LENGTH_BEFORE_ATTEMPT.of(response);
            }
        },
        TWO_PARTS {
            @Override
            String of(Response response) {
                return INSIDE_CHUNK.of(response) + STATUS_LINE.of(response);
            }
        },
        BEFORE_LAST_LINE {
            @Override
            String of(Response response) {
                String chunked = response.chunked();
                return chunked.substring(0, chunked.length() - 2);
            }
        },
        INSIDE_EVENT {
            @Override
            String of(Response response) {
                String chunked = response.chunked();
                return chunked.substring(0, chunked.length() - 9);
            }
        },
        NO_RESPONSE {
            @Override
            String of(Response response) {
                return "\u0001\u0002 no response \r\n\r\n";
            }
        },
        NO_RESPONSE_WITHOUT_END {
            @Override
            String of(Response response) {
                return "Attempt: " + response.attempt();
            }
        };

        abstract String of(Response response);

        /**
         * Tells whether the response to the next request may be lost: bytes that are no response, and arrive between a
         * request and its response, look like a faulty response to it.
         */
        boolean mayCostResponses(Timing timing) {
            return timing == Timing.SOON && (this == NO_RESPONSE || this == NO_RESPONSE_WITHOUT_END);
        }
    }

    /** When the stray bytes are sent. */
    private enum Timing {
        WITH_RESPONSE,
        SOON,
        BEFORE_NEXT
    }

    /** What callers ask for. */
    private enum Kind {
        PLAIN("/unsafe/x"),
        STREAM("/stream/x"),
        RESUMABLE_STREAM("/resumable/x");

        private final String path;

        Kind(String path) {
            this.path = path;
        }
    }

    /** A response of a target. */
    private record Response(String attempt, int status, String body, boolean streamed) {
        Response withOtherStatus() {
            return new Response(attempt, status == 200 ? 500 : 200, body, streamed);
        }

        String statusLine() {
            return "HTTP/1.1 " + status + " Status\r\n";
        }

        String attemptLine() {
            return "Attempt: " + attempt + "\r\n";
        }

        private String fields() {
            return statusLine() + attemptLine() + (status == 503 ? "Not-Run: 1\r\n" : "Signed: yes\r\n");
        }

        String text() {
            return streamed ? chunked() : fields() + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /** Returns the response with a chunk for each event. */
        String chunked() {
            StringBuilder chunks = new StringBuilder(fields()).append("Transfer-Encoding: chunked\r\n\r\n");
            for (String event : body.split("(?<=\n\n)")) {
                chunks.append(FakeTarget.chunk(event));
            }
            return chunks.append("0\r\n\r\n").toString();
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
                return new Response(attempt, 503, "full", false);
            }
            boolean streamed = !request.contains(Kind.PLAIN.path);
            String body = streamed ? events(request, attempt) : "ran-" + attempt;
            // A stream that may be resumed is repeated after a failure, with another result.
            boolean fails = number % FAILURE_INTERVAL == 0 && !request.contains(Kind.RESUMABLE_STREAM.path);
            Response response = fails
                    ? new Response(attempt, 500, "failed-" + attempt, false)
                    : new Response(attempt, 200, body, streamed);
            runs.put(attempt, response);
            return response;
        }
    }

    /** Returns the events of a stream that the request asks for; their number depends on the attempt. */
    private static String events(String request, String attempt) {
        Matcher resumed = RESUMED.matcher(request);
        int first = resumed.find() ? 1 + Integer.parseInt(resumed.group(1)) : 1;
        StringBuilder events = new StringBuilder();
        for (int id = first; id <= eventCount(attempt); id++) {
            events.append("id: ").append(id).append("\ndata: ").append(attempt).append("\n\n");
        }
        return events.toString();
    }

    private static int eventCount(String attempt) {
        return 1 + Math.floorMod(attempt.hashCode(), MAX_EVENTS);
    }

    static Stream<Arguments> plays() {
        return Stream.of(Kind.values())
                .flatMap(kind -> Stream.of(Stray.values())
                        .flatMap(stray -> Stream.of(Timing.values())
                                .filter(timing -> kind != Kind.RESUMABLE_STREAM || timing == Timing.BEFORE_NEXT)
                                .map(timing -> Arguments.of(kind, stray, timing))));
    }

    /** Guards against stray bytes of a target that are taken for the response to the next request, or a part of it. */
    @ParameterizedTest
    @MethodSource("plays")
    void strayBytesAreNotTakenForTheNextResponse(Kind kind, Stray stray, Timing timing) throws Exception {
        Map<String, Response> runs = new ConcurrentHashMap<>();
        ExecutorService later = Executors.newCachedThreadPool();
        try (FrontFixture fixture = new FrontFixture()) {
            for (int i = 0; i < TARGETS; i++) {
                fixture.target("t" + i, new StutteringTarget(stray, timing, runs, later)::answer);
            }
            fixture.publishCatalog(TARGETS, TIMEOUT_MILLIS);
            assertThat(wrongResponses(fixture, kind, stray.mayCostResponses(timing), runs), empty());
        } finally {
            later.shutdownNow();
        }
        assertThat("requests that ran", runs.size(), greaterThan(REQUESTS / 2));
    }

    static Stream<Arguments> relayedPlays() {
        return Stream.of(Stray.STATUS_LINE, Stray.INSIDE_BODY, Stray.UNNAMED, Stray.PART_AND_WHOLE)
                .flatMap(stray -> Stream.of(Timing.values()).map(timing -> Arguments.of(stray, timing)));
    }

    /** Guards against the same over connections that a peer relays. */
    @ParameterizedTest
    @MethodSource("relayedPlays")
    void strayBytesOfRelayedConnectionsAreNotTakenForTheNextResponse(Stray stray, Timing timing) throws Exception {
        Map<String, Response> runs = new ConcurrentHashMap<>();
        ExecutorService later = Executors.newCachedThreadPool();
        StutteringTarget target = new StutteringTarget(stray, timing, runs, later);
        try (CutFleet fleet = new CutFleet(2, TARGETS, false, target::answer)) {
            fleet.cut(0, CutLink.Cut.REFUSED);
            assertThat(call(fleet.front(0), Kind.PLAIN, "partition", false, runs), is(Optional.empty()));
            assertThat(wrongResponses(fleet.front(0), Kind.PLAIN, false, runs), empty());
        } finally {
            later.shutdownNow();
        }
        assertThat("requests that ran", runs.size(), greaterThan(REQUESTS / 2));
    }

    /** Sends requests over several connections at once, and returns what is wrong with their responses. */
    private static List<String> wrongResponses(
            FrontFixture fixture, Kind kind, boolean mayBeLost, Map<String, Response> runs) throws Exception {
        List<String> wrong = new CopyOnWriteArrayList<>();
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try {
            List<Future<?>> pending = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String attempt = "a" + i;
                pending.add(callers.submit(
                        () -> call(fixture, kind, attempt, mayBeLost, runs).ifPresent(wrong::add)));
            }
            for (Future<?> call : pending) {
                call.get();
            }
        } finally {
            callers.shutdownNow();
        }
        return wrong;
    }

    /** Guards against a second copy of a rejection that names the attempt which is sent to its target once more. */
    @Test
    void rejectedAttemptIsNotSentToItsTargetAgain() throws Exception {
        Map<String, Integer> received = new ConcurrentHashMap<>();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                String attempt = FakeTarget.attemptId(request);
                received.merge(attempt, 1, Integer::sum);
                FakeTarget.write(socket, new Response(attempt, 503, "full", false).text());
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
                    FakeTarget.write(socket, new Response(FakeTarget.attemptId(request), 200, "ran", false).text());
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

    /** Sends a request, and returns what is wrong with its response. */
    private static Optional<String> call(
            FrontFixture fixture, Kind kind, String attempt, boolean mayBeLost, Map<String, Response> runs) {
        KeptConnection.Response received;
        boolean complete;
        try (KeptConnection caller = new KeptConnection(fixture.connect(), 2 * (int) TIMEOUT_MILLIS)) {
            received = caller.exchange(FrontFixture.request("POST", kind.path, attempt, true));
            complete = received.ending() == KeptConnection.Ending.COMPLETE && caller.endsNow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Response ran = runs.get(attempt);
        boolean right = ran == null
                ? received.status() == 503
                : received.status() == ran.status() && received.body().equals(ran.body());
        boolean lost = mayBeLost && received.status() == 502;
        return (right || lost) && complete
                ? Optional.empty()
                : Optional.of(attempt + " ran as " + ran + ": " + received);
    }
}
