package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.traffic.target.TargetProcess;

/**
 * Asks targets which process serves their address, since a process that has started under the id and address of another
 * is published later.
 *
 * <p>Only targets that report on themselves are asked. One call answers all questions that were put before it was sent.
 */
final class ProcessInquiry {
    /** Time for which a report is awaited; a caller may wait meanwhile. */
    private static final long TIMEOUT_MILLIS = 300;
    /** Maximum size of the body of a report. */
    private static final int MAX_REPORT_BYTES = 256 * 1_024;

    /** Questions about one target. */
    private static final class Questions {
        /** Tasks that wait for the call under way. */
        private List<Runnable> asked = new ArrayList<>();
        /** Tasks that wait for the call after it. */
        private List<Runnable> next = new ArrayList<>();
    }

    private final EventLoopGroup loop;
    private final HttpDialect dialect;
    private final TargetRegistry targets;
    private final Ticker ticker;
    private final FrontMetrics metrics;
    private final Set<Verification> verifications = new LinkedHashSet<>();
    /** By the ids of the targets that are being asked. */
    private final Map<String, Questions> questions = new HashMap<>();

    /** Creates an inquiry that has asked nobody. */
    ProcessInquiry(
            EventLoopGroup loop, HttpDialect dialect, TargetRegistry targets, Ticker ticker, FrontMetrics metrics) {
        this.loop = loop;
        this.dialect = dialect;
        this.targets = targets;
        this.ticker = ticker;
        this.metrics = metrics;
    }

    /** Tells whether a question may show that the process which a target's entry names still serves its address. */
    boolean possible(TargetEntry entry) {
        TargetProcess process = entry.pool().process();
        String service = entry.state().target().service();
        return process.startedUnixMillis() > 0
                && process.successorStartUnixMillis().isEmpty()
                && targets.processes().mayReport(service, ticker.nowMillis());
    }

    /**
     * Asks a target for its report, and runs a task once what it states is recorded, or nothing came in time.
     *
     * @param entry target of a service whose targets report on themselves
     */
    void ask(TargetEntry entry, Runnable task) {
        String targetId = entry.state().target().id();
        Questions running = questions.get(targetId);
        if (running != null) {
            running.next.add(task);
            return;
        }
        Questions first = new Questions();
        first.asked.add(task);
        questions.put(targetId, first);
        send(entry, first);
    }

    /** Asks targets that are not being asked, and runs a task after each. */
    void askAgain(Set<String> targetIds, Runnable task) {
        for (String targetId : targetIds) {
            TargetEntry entry = targets.entry(targetId);
            if (entry != null && !questions.containsKey(targetId) && possible(entry)) {
                ask(entry, task);
            }
        }
    }

    /**
     * Waits until it is known which processes serve the addresses of targets, or nothing more is to come.
     *
     * @param asked targets whose processes are to become known
     * @param known tells whether they are, or cannot become known any longer
     * @param maxMillis time in milliseconds after which nothing is awaited any longer
     * @param task run in a later turn of the event loop
     * @return false if nothing is to come; the task is not run then
     */
    boolean verify(Set<TargetEntry> asked, BooleanSupplier known, long maxMillis, Runnable task) {
        Verification verification = new Verification(asked, known, task);
        asked.stream().filter(this::possible).forEach(entry -> ask(entry, this::recheck));
        if (!verification.awaitsAnything()) {
            return false;
        }
        verifications.add(verification);
        loop.schedule(() -> conclude(verification), maxMillis, TimeUnit.MILLISECONDS);
        return true;
    }

    /** Concludes verifications for which something that was awaited has come. */
    void recheck() {
        for (Verification verification : List.copyOf(verifications)) {
            if (verification.known.getAsBoolean()) {
                conclude(verification);
            } else if (!verification.awaitsAnything()) {
                // A question may end at once, for a target that refuses connections, and would be put again at once.
                long delayMillis = verification.begunAtMillis + TIMEOUT_MILLIS - ticker.nowMillis();
                loop.schedule(() -> conclude(verification), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
            }
        }
    }

    private void conclude(Verification verification) {
        if (verifications.remove(verification)) {
            loop.execute(verification.task);
        }
    }

    /** A wait for the processes of targets. */
    private final class Verification {
        private final Set<TargetEntry> asked;
        private final BooleanSupplier known;
        private final Runnable task;
        private final long begunAtMillis = ticker.nowMillis();

        Verification(Set<TargetEntry> asked, BooleanSupplier known, Runnable task) {
            this.asked = asked;
            this.known = known;
            this.task = task;
        }

        /** Tells whether a report is under way, or an entry that is written again may come. */
        private boolean awaitsAnything() {
            long nowMillis = ticker.nowMillis();
            return asked.stream()
                    .map(entry -> entry.state().target())
                    .anyMatch(target -> questions.containsKey(target.id())
                            || targets.processes().mayRepeatEntries(target.service(), nowMillis));
        }
    }

    private void send(TargetEntry entry, Questions of) {
        Call call = new Call(entry, of);
        loop.schedule(call::timedOut, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        entry.pool().acquireForProbe(acquired -> {
            if (acquired.connection().isEmpty()) {
                call.end(ProcessReport.UNANSWERED);
            } else {
                call.send(acquired.connection().get());
            }
        });
    }

    private void ended(TargetEntry entry, Questions of) {
        String targetId = entry.state().target().id();
        List<Runnable> tasks = of.asked;
        of.asked = of.next;
        of.next = new ArrayList<>();
        if (of.asked.isEmpty()) {
            questions.remove(targetId);
        } else {
            send(entry, of);
        }
        // Each in a turn of its own, so that one that fails does not end the others.
        tasks.forEach(loop::execute);
    }

    /** One call of a target. */
    private final class Call implements TargetListener {
        private final TargetEntry entry;
        private final Target target;
        private final Questions of;
        private final ByteBuf body = Unpooled.buffer();
        private TargetConnection connection;
        private long askedAtMillis;
        private int status;
        /** What the call shows if nothing better comes in time. */
        private ProcessReport outcome = ProcessReport.UNANSWERED;
        /** Whether the response to the call is complete. */
        private boolean complete;

        private boolean ended;

        Call(TargetEntry entry, Questions of) {
            this.entry = entry;
            this.of = of;
            target = entry.state().target();
            askedAtMillis = ticker.nowMillis();
        }

        void send(TargetConnection acquired) {
            if (ended) {
                acquired.close();
                return;
            }
            connection = acquired;
            connection.send(dialect.runsRequest(target.address()), Unpooled.EMPTY_BUFFER, "", this);
        }

        @Override
        public void head(HttpResponse response, ResponseHead head) {
            status = head.status();
        }

        @Override
        public void content(ByteBuf chunk) {
            try {
                if (ended) {
                    return;
                }
                if (body.readableBytes() + chunk.readableBytes() > MAX_REPORT_BYTES) {
                    connection.cancel();
                    end(ProcessReport.UNREADABLE);
                } else {
                    body.writeBytes(chunk);
                }
            } finally {
                chunk.release();
            }
        }

        @Override
        public void complete() {
            complete = true;
            if (status != HttpResponseStatus.OK.code()) {
                endWithoutStart(ProcessReport.ofError(status));
                return;
            }
            OptionalLong start = dialect.readReportedStart(body.toString(StandardCharsets.UTF_8));
            if (start.isEmpty()) {
                endWithoutStart(ProcessReport.UNREADABLE);
                return;
            }
            Optional<Target> published = targets.stated(target, start.getAsLong(), askedAtMillis);
            end(published.isPresent() ? ProcessReport.PUBLISHED : ProcessReport.OTHER);
        }

        /** Ends a call that has shown no process; where a later one may, not sooner than one without an answer. */
        private void endWithoutStart(ProcessReport report) {
            outcome = report;
            if (report != ProcessReport.REFUSED && !targets.processes().reports(target.service())) {
                end(report);
            }
        }

        @Override
        public void failed(TargetFailure failure) {
            complete = true;
            end(ProcessReport.UNANSWERED);
        }

        void timedOut() {
            if (!ended) {
                if (connection != null && !complete) {
                    connection.cancel();
                }
                end(outcome);
            }
        }

        private void end(ProcessReport report) {
            if (ended) {
                return;
            }
            ended = true;
            body.release();
            if (report.statesNoProcess()) {
                targets.processes().reportUnreadable(target.service(), ticker.nowMillis());
            }
            metrics.processReported(report);
            FrontLog.processReported(entry, report, ticker.nowMillis() - askedAtMillis);
            ProcessInquiry.this.ended(entry, of);
        }
    }
}
