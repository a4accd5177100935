package org.whinwharf.platform.fleet;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A caller that sends one request after another, over a kept connection or new ones, and records each attempt. */
final class CallerStandIn implements Runnable {
    /** Host of all requests. */
    static final String HOST = "h";

    private static final Pattern EVENT_ID = Pattern.compile("id: (\\d+)\ndata: [^\n]*\n\n");
    private static final int CONNECT_MILLIS = 1_000;
    private static final int MAX_EVENTS = 12;
    private static final int MAX_TRIES = 4;
    /** Tries to resume a stream, which outlast a restart of all fronts. */
    private static final int MAX_RESUMPTIONS = 25;

    private static final int RESUMPTION_MILLIS = 200;
    private static final int MAX_PATIENCE_MILLIS = 120;
    private static final double MAX_RETRY_SECONDS = 1;
    private static final int MIN_RUN_MILLIS = 400;
    private static final int MAX_STEP_MILLIS = 400;
    private static final int MIN_SLOW_BODY_MILLIS = 600;
    private static final int MAX_SLOW_BODY_MILLIS = 6_000;
    /** Size of the receive buffer of a slow reader, which leaves the rest of an answer at the other side. */
    private static final int SLOW_RECEIVE_BYTES = 65_536;

    private static final int SLOW_BODY_PIECES = 12;

    private final String name;
    private final Supplier<List<InetSocketAddress>> fronts;
    private final FleetRecord record;
    private final CallerHabits habits;
    private final Random random;
    private int requests;
    private int attempts;
    private Socket socket;
    private HttpReader in;
    private volatile boolean stopped;

    /**
     * Creates a caller.
     *
     * @param name name, with which the ids of its attempts begin
     * @param fronts addresses to which it may connect now
     */
    CallerStandIn(
            String name, Supplier<List<InetSocketAddress>> fronts, FleetRecord record, CallerHabits habits, long seed) {
        this.name = name;
        this.fronts = fronts;
        this.record = record;
        this.habits = habits;
        random = new Random(seed);
    }

    /** Lets it end after the request that it sends now. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                request();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(habits.maxPauseMillis()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    /** Sends a request, again where its kind allows it, and resumes a stream that was broken off. */
    private void request() throws InterruptedException {
        AttemptKind kind = habits.kinds().get(random.nextInt(habits.kinds().size()));
        String path = path(kind, name + "-" + requests++);
        String firstAttempt = "";
        int lastEvent = 0;
        for (int i = 0; i < (lastEvent > 0 ? MAX_RESUMPTIONS : MAX_TRIES) && !stopped; i++) {
            CallerAnswer answer = attempt(kind, path, firstAttempt, lastEvent);
            record.add(answer);
            int received = lastEvent(answer.body(), lastEvent);
            if (received > lastEvent && firstAttempt.isEmpty()) {
                firstAttempt = answer.attemptId();
            }
            lastEvent = received;
            boolean refused =
                    answer.end() == CallerAnswer.End.COMPLETE && (answer.status() == 503 || answer.status() == 429);
            boolean failed = answer.end() == CallerAnswer.End.CLOSED || answer.status() >= 500;
            if (!refused && !(failed && kind.repeatable())) {
                return;
            }
            disconnect();
            TimeUnit.MILLISECONDS.sleep(
                    Math.max(refused ? retryAfterMillis : 0, lastEvent > 0 ? RESUMPTION_MILLIS : 0));
        }
    }

    private String path(AttemptKind kind, String request) {
        if (habits.maxRunMillis() == 0) {
            return kind.prefix() + request + "/" + (1 + random.nextInt(MAX_EVENTS));
        }
        int runMillis = MIN_RUN_MILLIS + random.nextInt(habits.maxRunMillis() - MIN_RUN_MILLIS);
        if (habits.slowlyReadLines() > 0) {
            return kind.pathOfLarge(request, runMillis, habits.slowlyReadLines());
        }
        int events = kind.streaming() ? 1 + runMillis / MAX_STEP_MILLIS : 1;
        return kind.path(request, runMillis / events, events);
    }

    private long retryAfterMillis;

    private static int lastEvent(String body, int before) {
        int last = before;
        Matcher matcher = EVENT_ID.matcher(body);
        while (matcher.find()) {
            last = Integer.parseInt(matcher.group(1));
        }
        return last;
    }

    private CallerAnswer attempt(AttemptKind kind, String path, String firstAttempt, int lastEvent) {
        String attemptId = name + "-a" + attempts++;
        boolean kept = socket != null;
        String head = "";
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        CallerAnswer.End end = CallerAnswer.End.COMPLETE;
        boolean impatient = habits.leftInterval() > 0 && random.nextInt(habits.leftInterval()) == 0;
        int patienceMillis = impatient ? 1 + random.nextInt(MAX_PATIENCE_MILLIS) : 2 * habits.timeoutMillis();
        BodyPace pace = drawPace(kind);
        OptionalLong lastByteNanos = OptionalLong.empty();
        String front = "";
        int strayBytes = 0;
        long sentNanos = System.nanoTime();
        try {
            connect();
            front = socket.getInetAddress().getHostAddress();
            strayBytes = in.available();
            in.setTimeoutMillis(patienceMillis);
            String text = requestHead(kind, path, attemptId, firstAttempt, lastEvent);
            sentNanos = System.nanoTime();
            if (send(text, kind, attemptId, pace)) {
                lastByteNanos = OptionalLong.of(System.nanoTime());
            }
            head = in.head();
            if (head.isEmpty()) {
                end = CallerAnswer.End.CLOSED;
            } else {
                in.body(head, true, body);
            }
        } catch (SocketTimeoutException e) {
            end = impatient ? CallerAnswer.End.LEFT : CallerAnswer.End.TIMED_OUT;
        } catch (IOException e) {
            end = CallerAnswer.End.CLOSED;
        }
        if (!habits.keepsConnection()
                || end != CallerAnswer.End.COMPLETE
                || lastByteNanos.isEmpty()
                || "close".equalsIgnoreCase(HttpReader.header(head, "Connection"))) {
            disconnect();
        }
        String retryAfter = HttpReader.header(head, "Retry-After");
        retryAfterMillis =
                retryAfter.isEmpty() ? 0 : (long) (1_000 * Math.min(MAX_RETRY_SECONDS, Double.parseDouble(retryAfter)));
        return new CallerAnswer(
                attemptId,
                path,
                front,
                kept,
                sentNanos,
                System.nanoTime(),
                status(head),
                HttpReader.header(head, "X-Attempt-Id"),
                HttpReader.header(head, "X-Server-Seal"),
                body.toString(StandardCharsets.ISO_8859_1),
                end,
                firstAttempt,
                lastEvent,
                strayBytes,
                new CallerAnswer.Upload(pace, lastByteNanos));
    }

    /** Returns the status of an answer; 0 if there is none, -1 if what came is no answer. */
    private static int status(String head) {
        Matcher matcher = Pattern.compile("HTTP/1\\.1 (\\d{3})( |\n)").matcher(head);
        int other = head.isEmpty() ? 0 : -1;
        return matcher.lookingAt() ? Integer.parseInt(matcher.group(1)) : other;
    }

    private BodyPace drawPace(AttemptKind kind) {
        boolean slow = habits.slowBodyInterval() > 0
                && kind.method().equals("POST")
                && random.nextInt(habits.slowBodyInterval()) == 0;
        if (!slow) {
            return BodyPace.AT_ONCE;
        }
        return random.nextBoolean() ? BodyPace.SLOW_IN_CHUNKS : BodyPace.SLOW_WITH_LENGTH;
    }

    private String requestHead(AttemptKind kind, String path, String attemptId, String firstAttempt, int lastEvent) {
        String resumption =
                lastEvent == 0 ? "" : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstAttempt + "\r\n";
        return kind.method() + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + attemptId
                + "\r\nX-Deadline-Ms: " + habits.timeoutMillis() + "\r\n" + resumption;
    }

    /** Sends a request; returns whether the whole of it was sent, which an early answer or end prevents. */
    private boolean send(String head, AttemptKind kind, String attemptId, BodyPace pace) throws IOException {
        String content = kind.method().equals("POST") ? "content of " + attemptId : "";
        if (pace == BodyPace.AT_ONCE) {
            write(head + (content.isEmpty() ? "" : pace.header(content.length()) + "\r\n") + "\r\n" + content);
            return true;
        }
        write(head + pace.header(SLOW_BODY_PIECES * content.length()) + "\r\n\r\n");
        int slowMillis = MIN_SLOW_BODY_MILLIS + random.nextInt(MAX_SLOW_BODY_MILLIS - MIN_SLOW_BODY_MILLIS);
        for (int i = 0; i < SLOW_BODY_PIECES; i++) {
            if (!in.staysOpen(slowMillis / SLOW_BODY_PIECES)) {
                throw new EOFException("closed in the request");
            }
            if (in.available() > 0) {
                return false;
            }
            write(pace.piece(content) + (i + 1 == SLOW_BODY_PIECES ? pace.end() : ""));
        }
        return true;
    }

    private void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void connect() throws IOException {
        if (socket != null) {
            return;
        }
        List<InetSocketAddress> choice = fronts.get();
        if (choice.isEmpty()) {
            throw new IOException("no front runs");
        }
        Socket opened = new Socket();
        try {
            opened.setTcpNoDelay(true);
            if (habits.slowlyReadLines() > 0) {
                opened.setReceiveBufferSize(SLOW_RECEIVE_BYTES);
            }
            opened.connect(choice.get(random.nextInt(choice.size())), CONNECT_MILLIS);
            in = habits.slowlyReadLines() > 0 ? HttpReader.slow(opened) : new HttpReader(opened);
            socket = opened;
        } catch (IOException e) {
            opened.close();
            throw e;
        }
    }

    private void disconnect() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            socket = null;
        }
    }
}
