package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests targets that announce that they crash when they reject too many requests in a second. */
class RejectionLimitTest {
    private static final int FRONTS = 3;
    private static final int TARGETS = 2;
    private static final int SLOTS = 8;
    private static final int LIMIT_PER_SECOND = 4;
    private static final int CALLERS_PER_FRONT = 20;
    private static final long SERVICE_MILLIS = 60;
    /** Time after the first announcement from which the limit holds. */
    private static final long NOTICE_MILLIS = 3_000;

    private static final long OBSERVED_MILLIS = 3_000;

    private final Map<Integer, AtomicInteger> runningByTarget = new ConcurrentHashMap<>();
    private final Map<Integer, ConcurrentLinkedQueue<Long>> rejectedAtNanosByTarget = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean observing;
    private volatile boolean stopping;

    /** Guards against a burst that makes the targets of a service crash, because each front fills them by itself. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void overloadedTargetsRejectWithinTheirLimit(boolean engine) throws Exception {
        overloadAndObserve(engine, (fleet, callers) -> List.of());
    }

    /** Guards against a front that has just started and fills targets whose limit it has not read yet. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void frontThatHasJustStartedKeepsTheLimit(boolean engine) throws Exception {
        overloadAndObserve(engine, (fleet, callers) -> callAll(fleet.startFrontBeside(0), "new", callers));
    }

    /** Something that happens while targets are overloaded; returns the callers that it adds. */
    private interface Incident {
        List<Future<?>> happen(CutFleet fleet, ExecutorService callers) throws Exception;
    }

    private List<Future<?>> callAll(FrontFixture front, String name, ExecutorService callers) {
        List<Future<?>> results = new ArrayList<>();
        for (int i = 0; i < CALLERS_PER_FRONT; i++) {
            String caller = name + i + "n";
            results.add(callers.submit(() -> call(front, caller)));
        }
        return results;
    }

    private void overloadAndObserve(boolean engine, Incident incident) throws Exception {
        try (CutFleet fleet = new CutFleet(FRONTS, TARGETS, engine, this::answer)) {
            ExecutorService callers = Executors.newCachedThreadPool();
            List<Future<?>> results = new ArrayList<>();
            for (int i = 0; i < FRONTS; i++) {
                results.addAll(callAll(fleet.front(i), "f" + i + "c", callers));
            }
            Thread.sleep(NOTICE_MILLIS);
            observing = true;
            results.addAll(incident.happen(fleet, callers));
            Thread.sleep(OBSERVED_MILLIS);
            stopping = true;
            for (Future<?> result : results) {
                result.get();
            }
            callers.shutdown();
        }
        rejectedAtNanosByTarget.forEach((target, rejectedAtNanos) ->
                assertThat(mostInOneSecond(List.copyOf(rejectedAtNanos)), lessThanOrEqualTo(LIMIT_PER_SECOND)));
        long capacity = TARGETS * SLOTS * OBSERVED_MILLIS / SERVICE_MILLIS;
        assertThat("slots are used", (long) answered.get(), greaterThan(capacity / 2));
    }

    private static int mostInOneSecond(List<Long> atNanos) {
        int most = 0;
        for (int first = 0; first < atNanos.size(); first++) {
            int count = 0;
            for (Long nanos : atNanos) {
                long afterNanos = nanos - atNanos.get(first);
                count += afterNanos >= 0 && afterNanos < TimeUnit.SECONDS.toNanos(1) ? 1 : 0;
            }
            most = Math.max(most, count);
        }
        return most;
    }

    private void answer(String request, Socket socket) throws IOException {
        AtomicInteger running = runningByTarget.computeIfAbsent(socket.getLocalPort(), port -> new AtomicInteger());
        boolean room = running.incrementAndGet() <= SLOTS;
        try {
            if (room) {
                Thread.sleep(SERVICE_MILLIS);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            running.decrementAndGet();
        }
        if (observing && room) {
            answered.incrementAndGet();
        } else if (observing) {
            rejectedAtNanosByTarget
                    .computeIfAbsent(socket.getLocalPort(), port -> new ConcurrentLinkedQueue<>())
                    .add(System.nanoTime());
        }
        FakeTarget.write(
                socket,
                "HTTP/1.1 " + (room ? "200 X\r\nSigned: yes" : "503 X\r\nNot-Run: yes") + "\r\nAttempt: "
                        + FakeTarget.attemptId(request) + "\r\nRejection-Limit: " + LIMIT_PER_SECOND
                        + "\r\nContent-Length: 0\r\n\r\n");
    }

    private Void call(FrontFixture front, String name) throws IOException {
        for (int i = 0; !stopping; i++) {
            String response = front.exchange(FrontFixture.request("POST", "/unsafe/x", name + i, true));
            assertThat(response.isEmpty(), is(false));
        }
        return null;
    }
}
