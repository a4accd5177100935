package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.target.Target;

/**
 * Asks the targets of a service which runs they work on, to find the version of a stream that no process remembers.
 *
 * <p>A target may go on with a run for a while after the front that sent it was killed, and its report lags. A target
 * that reports a run under the attempt that began the stream proves the version, whatever other versions there are.
 */
final class RunInquiry {
    /** Time for which reports are awaited; a caller waits meanwhile. */
    private static final long TIMEOUT_MILLIS = 400;
    /** Time for which the reports of a service are used again, so that many streams cause one inquiry. */
    private static final long REUSE_MILLIS = 1_000;
    /** Maximum size of the body of a report. */
    private static final int MAX_REPORT_BYTES = 256 * 1_024;

    /** What the targets of one service have reported, and the searches that wait for it. */
    private static final class Reports {
        private final Map<String, Set<String>> versionsByAttempt = new HashMap<>();
        private final List<Runnable> waiting = new ArrayList<>();
        private long askedAtMillis;
        private int pending;

        private Optional<String> versionOf(String attemptId) {
            Set<String> versions = versionsByAttempt.getOrDefault(attemptId, Set.of());
            return versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
        }

        private void end() {
            pending = 0;
            List<Runnable> ready = List.copyOf(waiting);
            waiting.clear();
            ready.forEach(Runnable::run);
        }
    }

    private final EventLoopGroup loop;
    private final HttpDialect dialect;
    private final TargetRegistry targets;
    private final Ticker ticker;
    private final Map<String, Reports> reportsByService = new HashMap<>();

    RunInquiry(EventLoopGroup loop, HttpDialect dialect, TargetRegistry targets, Ticker ticker) {
        this.loop = loop;
        this.dialect = dialect;
        this.targets = targets;
        this.ticker = ticker;
    }

    /**
     * Finds the version of the targets that report a run of an attempt.
     *
     * @param consumer receives the version; nothing if no target reports the run, or targets of several versions do
     */
    void find(String service, String attemptId, Consumer<Optional<String>> consumer) {
        Reports known = reportsByService.get(service);
        boolean current = known != null && ticker.nowMillis() - known.askedAtMillis < REUSE_MILLIS;
        Reports reports = current ? known : ask(service);
        if (reports.pending == 0) {
            consumer.accept(reports.versionOf(attemptId));
        } else {
            reports.waiting.add(() -> consumer.accept(reports.versionOf(attemptId)));
        }
    }

    private Reports ask(String service) {
        Reports reports = new Reports();
        reports.askedAtMillis = ticker.nowMillis();
        reportsByService.put(service, reports);
        List<TargetEntry> asked = targets.ofService(service).stream()
                .map(state -> targets.entry(state.target().id()))
                .toList();
        reports.pending = asked.size();
        asked.forEach(entry -> entry.pool().acquireForProbe(acquired -> {
            if (acquired.connection().isEmpty()) {
                reported(reports);
                return;
            }
            Target target = entry.state().target();
            Report report =
                    new Report(reports, target.version(), acquired.connection().get());
            report.connection.send(dialect.runsRequest(target.address()), Unpooled.EMPTY_BUFFER, "", report);
        }));
        loop.schedule(reports::end, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return reports;
    }

    private static void reported(Reports reports) {
        if (reports.pending > 0) {
            reports.pending--;
            if (reports.pending == 0) {
                reports.end();
            }
        }
    }

    /** The report of one target. */
    private final class Report implements TargetListener {
        private final Reports reports;
        private final String version;
        private final TargetConnection connection;
        private final ByteBuf body = Unpooled.buffer();
        private boolean readable;

        Report(Reports reports, String version, TargetConnection connection) {
            this.reports = reports;
            this.version = version;
            this.connection = connection;
        }

        @Override
        public void head(HttpResponse response, ResponseHead head) {
            readable = head.status() == 200;
        }

        @Override
        public void content(ByteBuf chunk) {
            if (body.readableBytes() + chunk.readableBytes() > MAX_REPORT_BYTES) {
                connection.cancel();
                readable = false;
                end();
            } else {
                body.writeBytes(chunk);
            }
            chunk.release();
        }

        @Override
        public void complete() {
            if (readable) {
                dialect.readRuns(body.toString(StandardCharsets.UTF_8))
                        .forEach(attemptId -> reports.versionsByAttempt
                                .computeIfAbsent(attemptId, id -> new HashSet<>())
                                .add(version));
            }
            end();
        }

        @Override
        public void failed(TargetFailure failure) {
            end();
        }

        private void end() {
            body.release();
            reported(reports);
        }
    }
}
