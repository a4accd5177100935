package org.whinwharf.front;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Fronts before targets that state in their answers how many requests per second they take, and callers. */
final class RatedFleet implements AutoCloseable {
    /** Window over which the requests of a target are bounded. */
    static final long WINDOW_MILLIS = 4_000;
    /** Part of the stated rate up to which a window may exceed it, besides {@link #SLACK_REQUESTS}. */
    private static final double EXCESS = 1.5;

    private static final int SLACK_REQUESTS = 5;
    private static final int SLOTS = 8;
    private static final int CALLER_THREADS = 120;
    private static final int KEPT_TIMEOUT_MILLIS = 6_000;

    /** Settings of a fleet. */
    record Setup(int fronts, int targets, boolean engine, long serviceMillis) {}

    private final CutFleet fleet;
    private final Setup setup;
    private final ScheduledExecutorService callers = Executors.newScheduledThreadPool(CALLER_THREADS);
    private final Map<Integer, String> statements = new ConcurrentHashMap<>();
    private final Map<Integer, Queue<Long>> arrivalMillis = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicInteger> running = new ConcurrentHashMap<>();
    private final Set<Integer> avoided = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final long beganNanos;

    RatedFleet(Setup setup) throws Exception {
        this.setup = setup;
        for (int i = 0; i < setup.targets(); i++) {
            arrivalMillis.put(i, new ConcurrentLinkedQueue<>());
            running.put(i, new AtomicInteger());
        }
        fleet = new CutFleet(setup.fronts(), setup.targets(), setup.engine(), this::answer);
        beganNanos = System.nanoTime();
    }

    CutFleet fronts() {
        return fleet;
    }

    /** Returns the time since the start in milliseconds. */
    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
    }

    /** Lets a target state a rate in each answer from now on; an empty text is a header without a value. */
    void state(int target, String rate) {
        statements.put(target, rate);
    }

    /** Lets a target state no rate any longer. */
    void stateNone(int target) {
        statements.remove(target);
    }

    /** Runs a task at a time after the start. */
    void at(long millis, Task task) {
        callers.schedule(() -> run(task), millis - nowMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sends requests at a steady rate to the fronts in turn, from now on. */
    void callEvery(long intervalMillis, long untilMillis) {
        for (long millis = nowMillis(); millis < untilMillis; millis += intervalMillis) {
            at(millis, this::call);
        }
    }

    /** Something to do in a play. */
    interface Task {
        void run() throws Exception;
    }

    private static void run(Task task) {
        try {
            task.run();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the fronts that serve and that callers turn to. */
    List<FrontFixture> serving() {
        List<FrontFixture> serving = new ArrayList<>();
        for (int i = 0; i < fleet.size(); i++) {
            FrontFixture front = fleet.front(i);
            if (!front.killed() && front.front().ready() && !avoided.contains(i)) {
                serving.add(front);
            }
        }
        return serving;
    }

    /** Lets callers turn to other fronts than the given one. */
    void avoid(int front) {
        avoided.add(front);
    }

    private void call() throws IOException {
        int number = sent.getAndIncrement();
        List<FrontFixture> serving = serving();
        FrontFixture front = serving.get(number % serving.size());
        try {
            String response = front.exchange(FrontFixture.request("POST", "/unsafe/x", "r" + number, true));
            answered.addAndGet(response.startsWith("HTTP/1.1 200") ? 1 : 0);
        } catch (SocketException e) {
            if (!front.killed()) {
                throw e;
            }
        }
    }

    /** Sends one request after the other over connections that are kept until their front is gone. */
    void callOverKeptConnections(long pauseMillis, long untilMillis) throws IOException, InterruptedException {
        while (nowMillis() < untilMillis) {
            List<FrontFixture> serving = serving();
            FrontFixture front = serving.get(sent.get() % serving.size());
            try (KeptConnection connection = new KeptConnection(front.connect(), KEPT_TIMEOUT_MILLIS)) {
                while (connection.open() && !front.killed() && nowMillis() < untilMillis) {
                    int number = sent.getAndIncrement();
                    int status = connection
                            .exchange(FrontFixture.request("POST", "/unsafe/x", "k" + number, false))
                            .status();
                    answered.addAndGet(status == 200 ? 1 : 0);
                    Thread.sleep(pauseMillis);
                }
            } catch (SocketException e) {
                if (!front.killed()) {
                    throw e;
                }
            }
        }
    }

    /** Tells whether no front that runs takes any target for limited. */
    boolean noLimitKnown() {
        return serving().stream().noneMatch(front -> front.front().statedRates().limitedTargets() > 0);
    }

    private void answer(String request, Socket socket) throws IOException {
        int target = fleet.targetOf(socket);
        arrivalMillis.get(target).add(nowMillis());
        AtomicInteger atTarget = running.get(target);
        boolean room = atTarget.incrementAndGet() <= SLOTS;
        try {
            if (room) {
                Thread.sleep(setup.serviceMillis());
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            atTarget.decrementAndGet();
        }
        String statement = statements.get(target);
        FakeTarget.write(
                socket,
                "HTTP/1.1 " + (room ? "200 X\r\nSigned: yes" : "503 X\r\nNot-Run: yes") + "\r\nAttempt: "
                        + FakeTarget.attemptId(request) + "\r\n"
                        + (statement == null ? "" : "Request-Limit: " + statement + "\r\n")
                        + "Content-Length: 0\r\n\r\n");
    }

    /** Returns the number of requests that reached a target within a span of time, the end excluded. */
    int arrivals(int target, long fromMillis, long toMillis) {
        return (int) arrivalMillis.get(target).stream()
                .filter(millis -> millis >= fromMillis && millis < toMillis)
                .count();
    }

    /** Returns the largest number of requests that reached a target in any window that lies within a span of time. */
    int mostInWindow(int target, long fromMillis, long toMillis) {
        return arrivalMillis.get(target).stream()
                .filter(millis -> millis >= fromMillis)
                .mapToInt(millis -> arrivals(target, millis, Math.min(toMillis, millis + WINDOW_MILLIS)))
                .max()
                .orElse(0);
    }

    /** Returns the number of requests that a target which states a rate may get in any window. */
    static int maxInWindow(double requestsPerSecond) {
        return (int) (EXCESS * requestsPerSecond * WINDOW_MILLIS / 1_000 + SLACK_REQUESTS);
    }

    /** Returns the number of requests that callers have sent, and of those that were answered by a target. */
    int sent() {
        return sent.get();
    }

    int answered() {
        return answered.get();
    }

    @Override
    public void close() throws IOException {
        callers.shutdownNow();
        fleet.close();
    }
}
