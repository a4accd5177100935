package org.whinwharf.platform.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** One connection to a worker, which serves one request at a time. */
final class WorkerConnection {
    private static final int MAX_PLAIN_MILLIS = 60;
    private static final int MAX_LONG_MILLIS = 500;
    private static final int MAX_EVENT_MILLIS = 50;
    private static final int MAX_SLOW_EVENT_MILLIS = 250;
    /** One of so many streams is slow. */
    private static final int SLOW_INTERVAL = 4;

    private static final int MAX_BODY_LINES = 200;
    private static final int MAX_REPEAT_MILLIS = 20;
    /** One of so many plain requests takes long. */
    private static final int LONG_INTERVAL = 20;

    private static final String GARBAGE = "\u0001\u0002 no answer \r\n\r\n";
    /** Statuses that no worker may send. */
    private static final List<String> GARBLED_STATUSES =
            List.of("000", "099", "0200", "20", "2 0", "-20", "600", "999", "abc");

    private static final String GARBAGE_WITHOUT_END = "no answer";
    private static final String SUCCESS = "HTTP/1.1 200";
    private static final String FAILURE = "HTTP/1.1 500";
    /** Time between the parts of a plain answer that ends with its connection. */
    private static final int MAX_PART_MILLIS = 40;
    /** One of so many parts of answers ends behind the head. */
    private static final int BODY_PART_INTERVAL = 4;

    /** How the end of a body is told. */
    private enum Framing {
        LENGTH {
            @Override
            String header(int length) {
                return "Keep-Alive: timeout=30\r\nContent-Length: " + length;
            }
        },
        CHUNKS {
            @Override
            String header(int length) {
                return "Transfer-Encoding: chunked";
            }

            @Override
            String part(String text) {
                return text.isEmpty() ? "" : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
            }

            @Override
            String end() {
                return "0\r\n\r\n";
            }
        },
        /** Nothing but the end of the connection tells it. */
        CONNECTION {
            @Override
            String header(int length) {
                return "Connection: close";
            }
        };

        abstract String header(int length);

        /** Returns what is written of a part of the body. */
        String part(String text) {
            return text;
        }

        /** Returns what is written after the body. */
        String end() {
            return "";
        }

        /** Returns the fault instead of one that a response of this framing can't have. */
        WorkerFault possible(WorkerFault fault) {
            if (this != CONNECTION) {
                return fault;
            }
            if (fault == WorkerFault.ENDED_EARLY) {
                return fault;
            }
            // Only a reset tells that an answer which ends with its connection is incomplete.
            return fault.answers() ? WorkerFault.NONE : WorkerFault.RESET;
        }
    }

    private final WorkerStandIn worker;
    private final Socket socket;
    private final HttpReader in;
    /** Answer that is written again before the next one; empty if none. */
    private String before = "";
    /** Whether the connection ends after what is written again. */
    private boolean endsAfterRepetition;

    WorkerConnection(WorkerStandIn worker, Socket socket) throws IOException {
        this.worker = worker;
        this.socket = socket;
        in = new HttpReader(socket);
    }

    /** Serves requests until the connection ends. */
    void serve() throws IOException {
        String head = in.head();
        boolean open = true;
        while (open && !head.isEmpty()) {
            in.body(head, false, new ByteArrayOutputStream());
            worker.awaitSound(socket, Silence.Direction.TO_WORKER);
            if (worker.ended()) {
                worker.awaitSound(socket, Silence.Direction.TO_FRONT);
            }
            open = answer(head);
            head = open ? in.head() : "";
        }
    }

    private boolean answer(String head) throws IOException {
        String path = head.split(" ")[1];
        String expected = HttpReader.header(head, "X-Expect-Instance");
        if (path.equals(WorkerStandIn.REPORT_PATH)) {
            return answerReport();
        }
        boolean health = path.equals(WorkerStandIn.HEALTH_PATH);
        if (!expected.isEmpty() && !expected.equals(worker.identity().id())) {
            return reject(head, 421, WorkerFault.NONE);
        }
        if (worker.drawRejection() || !worker.takeSlot()) {
            return reject(head, 503, worker.drawFault());
        }
        try {
            return health ? answerHealthCheck() : execute(head, path);
        } finally {
            worker.releaseSlot();
        }
    }

    private boolean answerReport() throws IOException {
        Optional<String> report = worker.report();
        String body = report.orElse("");
        send("HTTP/1.1 " + (report.isPresent() ? 200 : 404) + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
        return true;
    }

    private boolean answerHealthCheck() throws IOException {
        int status = worker.leavingSinceNanos().isPresent() ? 503 : 200;
        String answer = "HTTP/1.1 " + status + " X\r\nX-Instance-Id: "
                + worker.identity().id() + "\r\nContent-Length: 0\r\n\r\n";
        WorkerFault fault = worker.drawFault();
        return write(answer, fault.repeats() ? fault : WorkerFault.NONE);
    }

    private boolean reject(String head, int status, WorkerFault fault) throws IOException {
        WorkerRun run = begin(head, false);
        String attempt = worker.drawNamed() ? "X-Attempt-Id: " + run.attemptId() + "\r\n" : "";
        WorkerFault used = fault.repeats() ? fault : WorkerFault.NONE;
        worker.record().put(run.ended(WorkerRun.End.WRITTEN, status, "", used.repeats()));
        return write(
                "HTTP/1.1 " + status + " X\r\n" + attempt
                        + "X-Not-Executed: 1\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n",
                used);
    }

    private WorkerRun begin(String head, boolean executed) {
        String afterEvent = HttpReader.header(head, "Last-Event-Id");
        long nowNanos = System.nanoTime();
        WorkerRun run = new WorkerRun(
                worker.record().nextNumber(),
                worker.identity().id(),
                worker.identity().version(),
                HttpReader.header(head, "X-Attempt-Id"),
                head.split(" ")[1],
                HttpReader.header(head, "X-Tenant"),
                afterEvent.isEmpty() ? 0 : Integer.parseInt(afterEvent),
                executed,
                0,
                WorkerRun.End.RUNNING,
                "",
                false,
                nowNanos,
                nowNanos,
                worker.leavingSinceNanos());
        worker.record().put(run);
        return run;
    }

    /** Runs a request; its record is complete before its last bytes are written, and is corrected if that fails. */
    private boolean execute(String head, String path) throws IOException {
        WorkerRun run = begin(head, true);
        WorkerFault fault = worker.drawFault();
        Output output = new Output(run);
        try {
            String limit = HttpReader.header(head, "X-Deadline-Ms");
            long limitMillis = limit.isEmpty() ? AttemptKind.TIMEOUT_MILLIS : Long.parseLong(limit);
            boolean streams = AttemptKind.of(path).streaming() && fault.status() == 200;
            return streams ? stream(output, fault, limitMillis) : plain(output, fault, limitMillis);
        } catch (IOException e) {
            boolean own = endsAfterRepetition || fault == WorkerFault.RESET || fault == WorkerFault.TRUNCATED;
            WorkerRun.End left = own ? WorkerRun.End.BROKEN_OFF : WorkerRun.End.CALLER_LEFT;
            WorkerRun.End end = worker.crashed() ? WorkerRun.End.CRASHED : left;
            worker.record().put(run.ended(end, output.status, output.body.toString(), false));
            throw e;
        } finally {
            worker.runEnded(run);
        }
    }

    /** What was written of one answer. */
    private static final class Output {
        private final WorkerRun run;
        private final StringBuilder all = new StringBuilder();
        private final StringBuilder body = new StringBuilder();
        private int status;

        Output(WorkerRun run) {
            this.run = run;
        }
    }

    private boolean plain(Output output, WorkerFault fault, long limitMillis) throws IOException {
        WorkerRun run = output.run;
        int drawnMillis =
                worker.draw(LONG_INTERVAL) == 0 ? worker.draw(MAX_LONG_MILLIS) : worker.draw(MAX_PLAIN_MILLIS);
        int millis = AttemptKind.stepMillis(run.path()).orElse(drawnMillis);
        if (!staysOpen(fault == WorkerFault.SILENT ? limitMillis : Math.min(millis, limitMillis))) {
            throw new IOException("the caller left");
        }
        output.status = millis > limitMillis ? WorkerFault.LATE.status() : fault.status();
        output.body
                .append("run ")
                .append(run.seal())
                .append(" of ")
                .append(run.attemptId())
                .append('\n');
        int drawnLines = worker.draw(MAX_BODY_LINES);
        output.body.append(
                (run.seal() + "\n").repeat(AttemptKind.lines(run.path()).orElse(drawnLines)));
        Framing framing = Framing.values()[worker.draw(Framing.values().length)];
        int half = output.body.length() / 2;
        String first = head(output, framing, output.body.length()) + framing.part(output.body.substring(0, half));
        String second = framing.part(output.body.substring(half)) + framing.end();
        if (fault == WorkerFault.GARBAGE || fault == WorkerFault.SILENT) {
            output.status = 0;
            end(output, fault);
            send(fault == WorkerFault.GARBAGE ? garbage(run, first + second) : "");
            return false;
        }
        WorkerFault used = framing.possible(fault);
        end(output, used);
        if (framing == Framing.CONNECTION && used == WorkerFault.NONE) {
            write(first, used);
            if (!staysOpen(worker.draw(MAX_PART_MILLIS))) {
                throw new IOException("the caller left");
            }
            send(second);
            return false;
        }
        return write(first + second, used) && framing != Framing.CONNECTION;
    }

    /** Returns bytes that are no answer; for most runs they are one but for its status. */
    private static String garbage(WorkerRun run, String answer) {
        int kind = (int) (run.number() % (GARBLED_STATUSES.size() + 1));
        return kind == GARBLED_STATUSES.size()
                ? GARBAGE
                : answer.replaceFirst(" \\d+ ", " " + GARBLED_STATUSES.get(kind) + " ");
    }

    private String head(Output output, Framing framing, int length) {
        String names = "X-Attempt-Id: " + output.run.attemptId() + "\r\nX-Server-Seal: " + output.run.seal();
        String framed = framing.header(length);
        boolean namesFirst = worker.draw(2) == 0;
        return "HTTP/1.1 " + output.status + " X\r\n"
                + (namesFirst ? names + "\r\n" + framed : framed + "\r\n" + names)
                + "\r\n\r\n";
    }

    private boolean stream(Output output, WorkerFault drawn, long limitMillis) throws IOException {
        WorkerRun run = output.run;
        Framing framing = worker.drawUndeclared() ? Framing.CONNECTION : Framing.CHUNKS;
        int events = AttemptKind.events(run.path());
        boolean endsEarly = run.afterEvent() < events && worker.drawEarlyEnd();
        WorkerFault fault = framing.possible(endsEarly ? WorkerFault.ENDED_EARLY : drawn);
        int breakAfter = fault.answers() ? events : run.afterEvent() + worker.draw(events - run.afterEvent() + 1);
        if (fault == WorkerFault.ENDED_EARLY) {
            breakAfter = Math.min(breakAfter, events - 1);
        }
        long endNanos = run.beganNanos() + limitMillis * 1_000_000;
        int maxEventMillis = worker.draw(SLOW_INTERVAL) == 0 ? MAX_SLOW_EVENT_MILLIS : MAX_EVENT_MILLIS;
        output.status = 200;
        output.all.append(head(output, framing, 0).replaceFirst("\r\n", "\r\nContent-Type: text/event-stream\r\n"));
        send(before + output.all);
        before = "";
        if (endsAfterRepetition) {
            throw new IOException("ended by a repeated answer");
        }
        OptionalInt askedMillis = AttemptKind.stepMillis(run.path());
        for (int id = run.afterEvent() + 1; id <= breakAfter; id++) {
            if (!staysOpen(askedMillis.orElse(worker.draw(maxEventMillis))) || System.nanoTime() > endNanos) {
                if (framing == Framing.CONNECTION && !worker.crashed()) {
                    reset();
                }
                throw new IOException("the caller left, or the time was up");
            }
            String event = "id: " + id + "\ndata: " + run.seal() + " " + run.version() + "\n\n";
            send(framing.part(event));
            worker.runMade(run, id - run.afterEvent());
            output.body.append(event);
            output.all.append(framing.part(event));
        }
        if (fault == WorkerFault.ENDED_EARLY && framing == Framing.CONNECTION) {
            worker.record().put(run.ended(WorkerRun.End.CUT, output.status, output.body.toString(), false));
            return false;
        }
        end(output, fault);
        if (fault == WorkerFault.ENDED_EARLY) {
            return false;
        }
        if (fault.answers()) {
            output.all.append(framing.end());
            send(framing.end());
            return finish(output.all.toString(), fault) && framing != Framing.CONNECTION;
        }
        if (fault == WorkerFault.SILENT) {
            staysOpen((endNanos - System.nanoTime()) / 1_000_000);
        } else if (fault == WorkerFault.GARBAGE) {
            send(GARBAGE);
        } else if (fault == WorkerFault.RESET) {
            reset();
        } else if (breakAfter < events) {
            send(framing.part("id: " + (breakAfter + 1) + "\nda"));
        }
        return false;
    }

    private void end(Output output, WorkerFault fault) {
        worker.record()
                .put(output.run.ended(
                        fault.answers() ? WorkerRun.End.WRITTEN : WorkerRun.End.BROKEN_OFF,
                        output.status,
                        output.body.toString(),
                        fault.repeats()));
    }

    /** Writes an answer as a fault has it; returns whether the connection stays open. */
    private boolean write(String answer, WorkerFault fault) throws IOException {
        if (fault == WorkerFault.TRUNCATED || fault == WorkerFault.RESET) {
            send(before + answer.substring(0, worker.draw(answer.length())));
            if (fault == WorkerFault.RESET) {
                reset();
            }
            return false;
        }
        if (endsAfterRepetition) {
            send(before);
            throw new IOException("ended by a repeated answer");
        }
        send(before + answer);
        before = "";
        return finish(answer, fault);
    }

    /** Writes what follows a complete answer. */
    private boolean finish(String answer, WorkerFault fault) throws IOException {
        switch (fault) {
            case REPEATED_AT_ONCE -> send(answer);
            case REPEATED_SOON -> sendLater(answer);
            case REPEATED_BEFORE_NEXT -> before = answer;
            case PART_REPEATED_SOON -> sendLater(partOf(answer));
            case PART_REPEATED_BEFORE_NEXT -> before = partOf(answer);
            case REPEATED_UNNAMED_SOON -> sendLater(unnamed(answer));
            case REPEATED_UNNAMED_BEFORE_NEXT -> before = unnamed(answer);
            case PART_AND_WHOLE_REPEATED_BEFORE_NEXT -> before = partOf(answer) + answer;
            case REPEATED_WITH_OTHER_STATUS_BEFORE_NEXT -> before = withOtherStatus(answer);
            case GARBAGE_BEFORE_NEXT -> before = GARBAGE_WITHOUT_END;
            case HALF_REPEATED_BEFORE_NEXT -> {
                before = answer.substring(0, answer.length() / 2);
                endsAfterRepetition = true;
            }
            case MORE_BYTES -> send(GARBAGE);
            default -> {
                return true;
            }
        }
        return true;
    }

    private void sendLater(String text) throws IOException {
        staysOpen(worker.draw(MAX_REPEAT_MILLIS));
        send(text);
    }

    /** Returns the beginning of an answer, mostly a part of its head. */
    private String partOf(String answer) {
        boolean inHead = worker.draw(BODY_PART_INTERVAL) > 0;
        return answer.substring(0, worker.draw(inHead ? answer.indexOf("\r\n\r\n") : answer.length()));
    }

    private static String unnamed(String answer) {
        return answer.replaceFirst("X-Attempt-Id: [^\r]*\r\n", "");
    }

    private static String withOtherStatus(String answer) {
        String status = answer.startsWith(SUCCESS) ? FAILURE : SUCCESS;
        return status + answer.substring(SUCCESS.length());
    }

    private void send(String text) throws IOException {
        worker.awaitSound(socket, Silence.Direction.TO_FRONT);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void reset() throws IOException {
        worker.awaitSound(socket, Silence.Direction.TO_FRONT);
        WorkerStandIn.reset(socket);
    }

    /** Waits for a time; returns false at once if the other side closes the connection and that arrives. */
    private boolean staysOpen(long millis) throws IOException {
        if (!worker.silent(socket, Silence.Direction.TO_WORKER)) {
            return in.staysOpen(millis);
        }
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
