package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests targets that answer a second time, right before their next answer on the same connection. */
class SecondAnswerTest {
    private static final int CALLERS = 8;
    /** Requests of each caller. */
    private static final int REQUESTS = 60;

    private static final int TARGETS = 3;
    /** Every how many requests a target rejects one. */
    private static final int REJECTION_INTERVAL = 4;

    private static final long TIMEOUT_MILLIS = 5_000;

    /** What rejections say of the attempt that they answer. */
    private enum Rejection {
        UNNAMED {
            @Override
            String head(String request) {
                return "";
            }
        },
        NAMED {
            @Override
            String head(String request) {
                return "Attempt: " + FakeTarget.attemptId(request) + "\r\n";
            }
        };

        abstract String head(String request);

        String of(String request) {
            return "HTTP/1.1 503 X\r\n" + head(request) + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull";
        }
    }

    /** A target that answers each request twice, the second time before the answer to the next one. */
    private static final class RepeatingTarget {
        private final Rejection rejection;
        private final Map<Socket, String> lastAnswers = new ConcurrentHashMap<>();
        private final Map<String, Integer> runs;
        private final AtomicInteger received = new AtomicInteger();

        RepeatingTarget(Rejection rejection, Map<String, Integer> runs) {
            this.rejection = rejection;
            this.runs = runs;
        }

        void answer(String request, Socket socket) throws IOException {
            String answer = answerTo(request);
            String before = lastAnswers.put(socket, answer);
            FakeTarget.write(socket, (before == null ? "" : before) + answer);
        }

        private String answerTo(String request) {
            if (received.incrementAndGet() % REJECTION_INTERVAL == 0) {
                return rejection.of(request);
            }
            runs.merge(FakeTarget.attemptId(request), 1, Integer::sum);
            return FakeTarget.answer(request, 200, "ran-" + FakeTarget.attemptId(request));
        }
    }

    /** Guards against a second rejection that is taken for the answer to the next request on its connection. */
    @ParameterizedTest
    @EnumSource(Rejection.class)
    void secondRejectionIsNotTakenForTheAnswerToTheNextRequest(Rejection rejection) throws Exception {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        List<String> wrong = new CopyOnWriteArrayList<>();
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try (FrontFixture fixture = new FrontFixture()) {
            for (int i = 0; i < TARGETS; i++) {
                fixture.target("t" + i, new RepeatingTarget(rejection, runs)::answer);
            }
            fixture.publishCatalog(TARGETS, TIMEOUT_MILLIS);
            List<Future<?>> pending = new ArrayList<>();
            for (int i = 0; i < CALLERS * REQUESTS; i++) {
                String attempt = "a" + i;
                pending.add(callers.submit(() -> call(fixture, attempt, runs).ifPresent(wrong::add)));
            }
            for (Future<?> call : pending) {
                call.get();
            }
            assertThat(wrong, empty());
        } finally {
            callers.shutdownNow();
        }
        assertThat("requests that ran", runs.size(), greaterThan(CALLERS * REQUESTS / 2));
    }

    /** Sends a request that may run once, and returns what is wrong with its answer. */
    private static Optional<String> call(FrontFixture fixture, String attempt, Map<String, Integer> runs) {
        String response;
        try {
            response = fixture.exchange(FrontFixture.request("POST", "/unsafe/x", attempt, true));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        int ran = runs.getOrDefault(attempt, 0);
        boolean answered = response.startsWith("HTTP/1.1 200") && response.endsWith("ran-" + attempt);
        boolean rejected = response.startsWith("HTTP/1.1 503");
        boolean right = ran <= 1 && answered == (ran == 1) && rejected == (ran == 0);
        return right ? Optional.empty() : Optional.of(attempt + " ran " + ran + " times: " + response);
    }

    /** Guards against a second answer to a health check that is taken for the answer to the next request. */
    @Test
    void secondAnswerToAHealthCheckIsNotTakenForTheAnswerToTheNextRequest() throws Exception {
        AtomicInteger checks = new AtomicInteger();
        Map<Socket, String> checkAnswers = new ConcurrentHashMap<>();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                String late = checkAnswers.remove(socket);
                String before = late == null ? "" : late;
                if (request.contains("/health")) {
                    String answer = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
                    checkAnswers.put(socket, answer);
                    FakeTarget.write(socket, before + answer);
                    checks.incrementAndGet();
                } else {
                    FakeTarget.write(
                            socket, before + FakeTarget.answer(request, 200, "own-" + FakeTarget.attemptId(request)));
                }
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            for (int i = 0; i < REQUESTS; i++) {
                String response = fixture.exchange(FrontFixture.request("POST", "/unsafe/x", "a" + i, true));
                assertThat(response, endsWith("own-a" + i));
                int before = checks.get();
                fixture.run(() -> fixture.front().probe(fixture.front().entry("t")));
                FrontFixture.await(() -> checks.get() > before);
                // By then the front has read the answer, which was written before it was counted.
                fixture.run(() -> {});
            }
        }
    }

    /** Guards against the body of an earlier answer that is read as the head of the answer to a HEAD request. */
    @Test
    void secondAnswerBeforeTheAnswerToAHeadRequestIsSkipped() throws Exception {
        Map<Socket, String> lastAnswers = new ConcurrentHashMap<>();
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target("t", (request, socket) -> {
                String whole = FakeTarget.answer(request, 200, "own-" + FakeTarget.attemptId(request));
                boolean headOnly = request.startsWith("HEAD");
                String answer = headOnly ? whole.substring(0, whole.indexOf("\r\n\r\n") + 4) : whole;
                String before = lastAnswers.put(socket, answer);
                FakeTarget.write(socket, (before == null ? "" : before) + answer);
            });
            fixture.publishCatalog(1, TIMEOUT_MILLIS);
            for (int i = 0; i < REQUESTS; i++) {
                String method = i % 3 == 1 ? "HEAD" : "GET";
                String response = fixture.exchange(FrontFixture.request(method, "/safe/x", "a" + i, true));
                assertThat(response, startsWith("HTTP/1.1 200"));
                assertThat(response, endsWith(method.equals("HEAD") ? "\r\n\r\n" : "own-a" + i));
            }
        }
    }
}
