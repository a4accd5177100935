package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Paths from several fronts to several targets that are cut and healed at random, wholly, partly and overlapping, while
 * callers keep their connections and one front is killed.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on.
 */
class PartitionSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 2);
    private static final int FRONTS = 4;
    private static final int TARGETS = 5;
    private static final int CALLERS_PER_FRONT = 3;
    private static final long FAULT_MILLIS = 12_000;
    private static final int MAX_PAUSE_MILLIS = 1_200;
    private static final double WHOLE_CUT_PROBABILITY = 0.6;
    private static final double HEAL_PROBABILITY = 0.45;
    /** Time after the last fault from which every front must serve. */
    private static final long RECOVERY_MILLIS = 4_000;

    private static final int RECOVERY_REQUESTS = 20;
    private static final int MAX_TARGET_DELAY_MILLIS = 40;
    private static final int STREAM_EVENTS = 6;
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String[] PATHS = {"/unsafe/x", "/safe/x", "/stream/x", "/resumable/x"};

    private final Map<String, AtomicInteger> runsByAttempt = new ConcurrentHashMap<>();
    private final Set<String> refusedAttempts = ConcurrentHashMap.newKeySet();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean stopping;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /**
     * Guards against a second run of a request that may run once, a refusal of a request that ran, a response that is
     * not whole, and fronts that do not serve again once their paths are back.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void requestsKeepTheirPromisesWhilePathsAreCut(long seed) throws Exception {
        Random random = new Random(seed);
        try (CutFleet fleet = new CutFleet(FRONTS, TARGETS, true, this::answer)) {
            ExecutorService callers = Executors.newCachedThreadPool();
            List<Future<?>> results = new ArrayList<>();
            for (int i = 0; i < FRONTS * CALLERS_PER_FRONT; i++) {
                int front = i % FRONTS;
                String name = seed + "-" + i + "-";
                Random callerRandom = new Random(random.nextLong());
                results.add(callers.submit(() -> call(fleet.front(front), name, callerRandom)));
            }
            injectFaults(fleet, random);
            Thread.sleep(RECOVERY_MILLIS);
            stopping = true;
            for (Future<?> result : results) {
                result.get();
            }
            callers.shutdown();
            checkRecovered(fleet, seed);
        }
        refusedAttempts.forEach(attempt -> assertThat("runs of refused " + attempt, runs(attempt), is(0)));
        runsByAttempt.forEach((attempt, runs) -> {
            if (attempt.contains("unsafe") || attempt.contains("stream")) {
                assertThat("runs of " + attempt, runs.get(), lessThanOrEqualTo(1));
            }
        });
        assertThat("served", served.get(), greaterThan(FRONTS * CALLERS_PER_FRONT));
    }

    /** Kills the last front in the middle; all other faults are cuts of paths, healed at the end. */
    private static void injectFaults(CutFleet fleet, Random random) throws Exception {
        long endNanos = System.nanoTime() + FAULT_MILLIS * 1_000_000;
        long killNanos = endNanos - FAULT_MILLIS * 500_000;
        boolean killed = false;
        CutLink.Cut[] cuts = CutLink.Cut.values();
        while (System.nanoTime() < endNanos) {
            int front = random.nextInt(FRONTS);
            if (random.nextDouble() < HEAL_PROBABILITY) {
                fleet.heal(front);
            } else if (random.nextDouble() < WHOLE_CUT_PROBABILITY) {
                fleet.cut(front, cuts[random.nextInt(cuts.length)]);
            } else {
                fleet.links(front).get(random.nextInt(TARGETS)).cut(cuts[random.nextInt(cuts.length)]);
            }
            if (!killed && System.nanoTime() > killNanos) {
                killed = true;
                fleet.front(FRONTS - 1).kill();
            }
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        }
        for (int front = 0; front < FRONTS; front++) {
            fleet.heal(front);
        }
    }

    private static void checkRecovered(CutFleet fleet, long seed) throws IOException {
        for (int front = 0; front < FRONTS - 1; front++) {
            for (int i = 0; i < RECOVERY_REQUESTS; i++) {
                String attempt = "unsafe-recovered" + seed + "-" + front + "-" + i;
                assertThat(
                        fleet.front(front).exchange(FrontFixture.request("POST", "/unsafe/x", attempt, true)),
                        startsWith("HTTP/1.1 200"));
            }
        }
    }

    private void answer(String request, Socket socket) throws IOException {
        String attempt = FakeTarget.attemptId(request);
        runsByAttempt.computeIfAbsent(attempt, id -> new AtomicInteger()).incrementAndGet();
        try {
            Thread.sleep(Math.floorMod(attempt.hashCode(), MAX_TARGET_DELAY_MILLIS));
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        if (request.contains("/stream/") || request.contains("/resumable/")) {
            String resumed = "resume-after: ";
            int at = request.toLowerCase(Locale.ROOT).indexOf(resumed);
            int first = at < 0 ? 1 : request.charAt(at + resumed.length()) - '0' + 1;
            FakeTarget.write(
                    socket,
                    "HTTP/1.1 200 X\r\nAttempt: " + attempt + "\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = first; event <= STREAM_EVENTS; event++) {
                FakeTarget.write(socket, FakeTarget.chunk(event(attempt, event)));
            }
            FakeTarget.write(socket, LAST_CHUNK);
        } else {
            FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole " + attempt));
        }
    }

    private static String event(String attempt, int id) {
        return "id: " + id + "\ndata: " + attempt + "\n\n";
    }

    /** Sends requests over one connection for as long as the front keeps it, then over the next. */
    private Void call(FrontFixture front, String name, Random random) throws IOException {
        for (int i = 0; !stopping; ) {
            try (Socket socket = front.connect()) {
                boolean open = true;
                while (open && !stopping) {
                    String path = PATHS[random.nextInt(PATHS.length)];
                    String attempt = path.substring(1, path.indexOf('/', 1)) + "-" + name + i++;
                    FakeTarget.write(socket, FrontFixture.request("POST", path, attempt, false));
                    open = readResponse(socket, attempt);
                }
            } catch (SocketTimeoutException e) {
                assertThat(name + i + " has no answer after its deadline", front.killed(), is(true));
            } catch (IOException e) {
                // The front was killed or closed the connection; the next attempt has another id.
                pause();
            }
        }
        return null;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(MAX_TARGET_DELAY_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Reads and checks one response; returns whether the connection stays open. */
    private boolean readResponse(Socket socket, String attempt) throws IOException {
        String head = FrontFixture.readUntil(socket, "\r\n\r\n");
        if (head.endsWith("[end]")) {
            return false;
        }
        String lower = head.toLowerCase(Locale.ROOT);
        String status = head.substring(9, 12);
        if (lower.contains("transfer-encoding: chunked")) {
            return readStream(socket, attempt);
        }
        int length = Integer.parseInt(lower.split("content-length: ")[1].split("\r\n")[0]);
        byte[] body = socket.getInputStream().readNBytes(length);
        if (status.equals("200")) {
            served.incrementAndGet();
            assertThat(new String(body, StandardCharsets.US_ASCII), is("whole " + attempt));
        } else if (status.equals("503")) {
            refusedAttempts.add(attempt);
        }
        return body.length == length && !lower.contains("connection: close");
    }

    private boolean readStream(Socket socket, String attempt) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = FrontFixture.readUntil(socket, "\r\n");
            if (size.endsWith("[end]")) {
                return false;
            }
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = socket.getInputStream().readNBytes(length + 2);
            if (chunk.length < length + 2) {
                return false;
            }
            if (length == 0) {
                break;
            }
            body.append(new String(chunk, 0, length, StandardCharsets.US_ASCII));
        }
        StringBuilder whole = new StringBuilder();
        for (int event = 1; event <= STREAM_EVENTS; event++) {
            whole.append(event(attempt, event));
        }
        served.incrementAndGet();
        assertThat(body.toString(), is(whole.toString()));
        return true;
    }

    private int runs(String attempt) {
        AtomicInteger runs = runsByAttempt.get(attempt);
        return runs == null ? 0 : runs.get();
    }
}
