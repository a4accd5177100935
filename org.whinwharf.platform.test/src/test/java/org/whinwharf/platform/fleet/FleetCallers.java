package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.whinwharf.lifecycle.Service;

/** Callers that ask each front by itself on routes and with keys that were changed lately, and on any others. */
final class FleetCallers implements Service {
    private static final int CALLERS_PER_FRONT = 2;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int MAX_PAUSE_MILLIS = 120;
    private static final int RECENT = 4;
    private static final String HEAD_END = "\r\n\r\n";

    /** What a request asks for. */
    record Subject(String route, String key) {}

    /**
     * One request and its answer.
     *
     * @param life which life of the front's process answered; negative if unknown
     * @param status status of the answer; 0 if there was none
     * @param body body of the answer
     */
    record Exchange(
            int front,
            int life,
            String attempt,
            Subject subject,
            long sentNanos,
            long answeredNanos,
            int status,
            String body) {}

    private final DeployedFleet fleet;
    private final FleetLives lives;
    private final String name;
    private final List<Subject> subjects = new CopyOnWriteArrayList<>();
    private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopping;

    /** Tells which life of a front's process runs. */
    @FunctionalInterface
    interface FleetLives {
        int life(int front);
    }

    /**
     * Creates callers that are not started.
     *
     * @param name part of the attempt ids
     */
    FleetCallers(DeployedFleet fleet, FleetLives lives, String name) {
        this.fleet = fleet;
        this.lives = lives;
        this.name = name;
    }

    /** Adds what is asked for from now on, often while it is among the last ones. */
    void ask(String route, String key) {
        subjects.add(new Subject(route, key));
    }

    /** Returns the requests that have ended. */
    List<Exchange> exchanges() {
        return List.copyOf(exchanges);
    }

    /** Returns the front to which an attempt was sent. */
    static int frontOf(String attempt) {
        return Integer.parseInt(attempt.substring(0, attempt.indexOf('-')));
    }

    @Override
    public void start() {
        for (int i = 0; i < fleet.fronts().size() * CALLERS_PER_FRONT; i++) {
            int caller = i;
            Thread thread = new Thread(() -> call(caller), "caller " + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    @Override
    public void stop() {
        stopping = true;
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private void call(int caller) {
        Random random = new Random(caller);
        int front = caller / CALLERS_PER_FRONT;
        for (int i = 0; !stopping; i++) {
            int size = subjects.size();
            int from = random.nextInt(3) > 0 ? Math.max(0, size - RECENT) : 0;
            Subject subject = subjects.get(from + random.nextInt(size - from));
            String attempt = front + "-" + name + "-" + caller + "-" + i;
            exchanges.add(exchange(front, attempt, subject));
            try {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Exchange exchange(int front, String attempt, Subject subject) {
        int life = lives.life(front);
        long sentNanos = System.nanoTime();
        int status = 0;
        String body = "";
        try (Socket socket = new Socket()) {
            FrontProcess process = fleet.fronts().get(front);
            socket.connect(new InetSocketAddress(process.ip(), process.callerPort()), TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            sentNanos = System.nanoTime();
            socket.getOutputStream()
                    .write(("GET /" + subject.route() + "/x HTTP/1.1\r\nHost: " + ConfigHistory.HOST
                                    + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS
                                    + "\r\nX-Api-Key: " + subject.key() + "\r\nConnection: close" + HEAD_END)
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            int end = answer.indexOf(HEAD_END);
            if (end > 0) {
                status = Integer.parseInt(answer.split(" ")[1]);
                body = answer.substring(end + HEAD_END.length());
            }
        } catch (IOException e) {
            // The front is not running, is frozen, or was killed under the request; status 0 says so.
            body = e.toString();
        }
        int answeringLife = lives.life(front) == life ? life : -1;
        return new Exchange(front, answeringLife, attempt, subject, sentNanos, System.nanoTime(), status, body);
    }
}
