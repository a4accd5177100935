package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.target.Target;

/**
 * Asks the targets of a service which runs they work on and when their processes started, to find the version of a
 * stream that no process remembers.
 *
 * <p>A target may go on with a run for a while after the front that sent it was killed, and its report lags. A target
 * that reports a run under the attempt that began the stream proves the version, whatever other versions there are, if
 * it states the start that is published: another process may serve at the target before its entry says so.
 */
final class RunInquiry {
    /** Time for which reports are awaited; a caller waits meanwhile. */
    private static final long TIMEOUT_MILLIS = 400;
    /** Time for which reports are used again to find runs, so that many streams cause one inquiry. */
    private static final long REUSE_MILLIS = 1_000;
    /** Minimum time between two inquiries that are to confirm the processes of one service. */
    private static final long MIN_INTERVAL_MILLIS = 100;
    /** Maximum size of the body of a report. */
    private static final int MAX_REPORT_BYTES = 256 * 1_024;

    /** Maximum number of targets that are asked before a caller resumes a stream. */
    private static final int MAX_ASKED_AHEAD = 64;

    /**
     * What a target has reported of a run.
     *
     * @param versions versions of the targets that reported it
     * @param atMillis monotonic time of the latest report
     */
    private record ReportedRun(Set<String> versions, long atMillis) {}

    /** What the targets of one service have reported, and the searches that wait for it. */
    private static final class Reports {
        /** By the id of the attempt; kept after the run has ended, for as long as callers resume its stream. */
        private final Map<String, ReportedRun> runs = new HashMap<>();

        private Inquiry latest = Inquiry.NONE;

        private void add(String attemptId, String version, long nowMillis) {
            Set<String> versions = new HashSet<>(Set.of(version));
            ReportedRun known = runs.get(attemptId);
            if (known != null) {
                versions.addAll(known.versions());
            }
            runs.put(attemptId, new ReportedRun(versions, nowMillis));
        }

        private Optional<String> versionOf(String attemptId) {
            ReportedRun run = runs.get(attemptId);
            return run != null && run.versions().size() == 1
                    ? run.versions().stream().findFirst()
                    : Optional.empty();
        }
    }

    /** One question to all targets of a service, and the searches that wait for the answers. */
    private static final class Inquiry {
        /** Stands for an inquiry that has ended long ago. */
        private static final Inquiry NONE = new Inquiry(Long.MIN_VALUE / 2, 0);

        private final List<Runnable> waiting = new ArrayList<>();
        private final long askedAtMillis;
        /** Number of targets that have not answered yet. */
        private int pending;
        /** Whether a target is not known to be the published process. */
        private boolean unconfirmed;
        /** Whether a target has no reports. */
        private boolean withoutReports;

        private boolean ended;

        Inquiry(long askedAtMillis, int pending) {
            this.askedAtMillis = askedAtMillis;
            this.pending = pending;
            ended = pending == 0;
        }

        /** Runs a task at the end of the inquiry, or now if it has ended. */
        private void onEnd(Runnable task) {
            if (ended) {
                task.run();
            } else {
                waiting.add(task);
            }
        }

        private void answered(ProcessReport report) {
            withoutReports |= report == ProcessReport.NONE;
            unconfirmed |= report != ProcessReport.PUBLISHED && report != ProcessReport.NONE;
            pending--;
            if (pending == 0) {
                end();
            }
        }

        private void timedOut() {
            unconfirmed |= pending > 0;
            end();
        }

        private void end() {
            ended = true;
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
        Reports reports = reportsOf(service);
        if (reports.runs.containsKey(attemptId)) {
            consumer.accept(reports.versionOf(attemptId));
            return;
        }
        inquire(service, reports).onEnd(() -> consumer.accept(reports.versionOf(attemptId)));
    }

    /**
     * Finds out whether all targets of a service are the published processes, whose versions are known. Those of a
     * service of which no target reports are taken for them.
     *
     * @param sinceMillis monotonic time in milliseconds at or after which the targets are asked: an earlier report does
     *     not show a process that has started since
     * @param consumer receives false also if a target does not answer in time
     */
    void confirmPublished(String service, long sinceMillis, Consumer<Boolean> consumer) {
        Reports reports = reportsOf(service);
        Inquiry latest = reports.latest;
        if (latest.askedAtMillis >= sinceMillis) {
            latest.onEnd(() -> consumer.accept(confirms(service, latest)));
            return;
        }
        if (!latest.ended) {
            latest.onEnd(() -> confirmPublished(service, sinceMillis, consumer));
            return;
        }
        // Targets of which one was late are given more time.
        long intervalMillis = confirms(service, latest) ? MIN_INTERVAL_MILLIS : TIMEOUT_MILLIS;
        long delayMillis = latest.askedAtMillis + intervalMillis - ticker.nowMillis();
        if (delayMillis <= 0) {
            ask(service, reports);
        }
        loop.schedule(
                () -> confirmPublished(service, sinceMillis, consumer),
                Math.max(0, delayMillis),
                TimeUnit.MILLISECONDS);
    }

    /** Tells whether the processes of all targets are known; at a service that reports, all of them have to report. */
    private boolean confirms(String service, Inquiry inquiry) {
        return !inquiry.unconfirmed
                && !(inquiry.withoutReports && targets.processes().reports(service));
    }

    /** Asks the targets of a service before a caller resumes a stream, since runs end meanwhile. */
    void askAhead(String service) {
        if (targets.ofService(service).size() <= MAX_ASKED_AHEAD) {
            ask(service, reportsOf(service));
        }
    }

    private Reports reportsOf(String service) {
        return reportsByService.computeIfAbsent(service, name -> new Reports());
    }

    private Inquiry inquire(String service, Reports reports) {
        if (reports.latest.ended && ticker.nowMillis() - reports.latest.askedAtMillis >= REUSE_MILLIS) {
            ask(service, reports);
        }
        return reports.latest;
    }

    private void ask(String service, Reports reports) {
        long nowMillis = ticker.nowMillis();
        reports.runs.values().removeIf(run -> nowMillis - run.atMillis() > StreamOrigins.RETENTION_MILLIS);
        List<TargetEntry> asked = targets.ofService(service).stream()
                .map(state -> targets.entry(state.target().id()))
                .toList();
        Inquiry inquiry = new Inquiry(nowMillis, asked.size());
        reports.latest = inquiry;
        asked.forEach(entry -> entry.pool().acquireForProbe(acquired -> {
            if (acquired.connection().isEmpty()) {
                FrontLog.processReported(entry, ProcessReport.UNANSWERED, ticker.nowMillis() - nowMillis);
                inquiry.answered(ProcessReport.UNANSWERED);
                return;
            }
            if (inquiry.ended) {
                entry.pool().release(acquired.connection().get());
                return;
            }
            Report report =
                    new Report(reports, inquiry, entry, acquired.connection().get());
            report.connection.send(dialect.runsRequest(report.asked.address()), Unpooled.EMPTY_BUFFER, "", report);
            loop.schedule(report::timedOut, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }));
        loop.schedule(inquiry::timedOut, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The report of one target. */
    private final class Report implements TargetListener {
        private final Reports reports;
        private final Inquiry inquiry;
        private final TargetEntry entry;
        /** The target as it was published when it was asked. */
        private final Target asked;

        private final TargetConnection connection;
        private final ByteBuf body = Unpooled.buffer();
        private int status;
        private boolean ended;

        Report(Reports reports, Inquiry inquiry, TargetEntry entry, TargetConnection connection) {
            this.reports = reports;
            this.inquiry = inquiry;
            this.entry = entry;
            asked = entry.state().target();
            this.connection = connection;
        }

        @Override
        public void head(HttpResponse response, ResponseHead head) {
            status = head.status();
        }

        @Override
        public void content(ByteBuf chunk) {
            if (body.readableBytes() + chunk.readableBytes() > MAX_REPORT_BYTES) {
                connection.cancel();
                end(ProcessReport.UNREADABLE);
            } else {
                body.writeBytes(chunk);
            }
            chunk.release();
        }

        @Override
        public void complete() {
            if (status != HttpResponseStatus.OK.code()) {
                end(ProcessReport.ofError(status));
                return;
            }
            String text = body.toString(StandardCharsets.UTF_8);
            OptionalLong startedUnixMillis = dialect.readReportedStart(text);
            if (startedUnixMillis.isEmpty()) {
                end(ProcessReport.UNREADABLE);
                return;
            }
            Optional<Target> published = targets.stated(asked, startedUnixMillis.getAsLong(), inquiry.askedAtMillis);
            published.ifPresent(process -> dialect.readRuns(text)
                    .forEach(attemptId -> reports.add(attemptId, process.version(), ticker.nowMillis())));
            end(published.isPresent() ? ProcessReport.PUBLISHED : ProcessReport.OTHER);
        }

        @Override
        public void failed(TargetFailure failure) {
            end(ProcessReport.UNANSWERED);
        }

        void timedOut() {
            if (!ended) {
                connection.cancel();
                end(ProcessReport.UNANSWERED);
            }
        }

        private void end(ProcessReport report) {
            ended = true;
            body.release();
            if (report != ProcessReport.PUBLISHED) {
                FrontLog.processReported(entry, report, ticker.nowMillis() - inquiry.askedAtMillis);
            }
            inquiry.answered(report);
        }
    }
}
