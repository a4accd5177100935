package org.whinwharf.front;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.catalog.RouteKind;

/** Counters, gauges and latency histograms of one front process. */
final class FrontMetrics {
    /** Bucket bounds of the histograms in milliseconds; latency objectives are between 100 and 800 ms. */
    private static final long[] BUCKET_BOUNDS_MILLIS = {10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 10_000};

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<ErrorKind, Counter> failures = new EnumMap<>(ErrorKind.class);
    private final Map<TruncationCause, Counter> truncations = new EnumMap<>(TruncationCause.class);
    private final Map<ItemsRequestOutcome, Counter> itemsRequests = new EnumMap<>(ItemsRequestOutcome.class);
    private final Map<ResponseEnding, Counter> responseEndings = new HashMap<>();
    private final Map<ResumptionOutcome, Counter> resumptions = new EnumMap<>(ResumptionOutcome.class);
    private final Map<UnmatchedResponse, Counter> unmatchedResponses = new EnumMap<>(UnmatchedResponse.class);
    private final Map<TargetLiveness, Counter> undeclaredEnds = new EnumMap<>(TargetLiveness.class);
    private final Map<String, Counter> judgedEnds = new HashMap<>();
    private final Map<EndVerdict, Counter> verifiedEnds = new EnumMap<>(EndVerdict.class);
    private final Map<String, Counter> taskFailures = new HashMap<>();
    private final Map<RetryDecision, Counter> silentRuns = new EnumMap<>(RetryDecision.class);
    private final Map<RouteKind, Timer> firstBytes = new EnumMap<>(RouteKind.class);
    private final Map<RouteKind, Timer> queueTimes = new EnumMap<>(RouteKind.class);
    private final Map<ServiceRank, HoldTimeGauges> holdTimes = new HashMap<>();
    private final Counter answered = Counter.builder("whinwharf.answers")
            .description("Answers of targets that were passed on")
            .register(registry);
    private final Counter retries = Counter.builder("whinwharf.repeats")
            .description("Requests sent to a further target")
            .register(registry);
    private final Counter ejections = Counter.builder("whinwharf.ejections")
            .description("Targets taken out of use after failures")
            .register(registry);
    private final Counter relayedRequests = Counter.builder("whinwharf.relayed.requests")
            .description("Requests sent to targets through a peer")
            .register(registry);
    private final Counter connectFailures = Counter.builder("whinwharf.connect.failures")
            .description("Attempts to connect to a target that failed")
            .register(registry);
    private final Counter receivedItemBytes = Counter.builder("whinwharf.items.received")
            .description("Bytes of published items that peers sent, incomplete answers included")
            .baseUnit("bytes")
            .register(registry);

    private final Counter endedSilences = Counter.builder("whinwharf.runs.silence.ended")
            .description("Silent runs whose target sent bytes again")
            .register(registry);

    private final Map<ProcessReport, Counter> processReports = new EnumMap<>(ProcessReport.class);
    private final Counter skippedStreamTargets = Counter.builder("whinwharf.streams.targets.skipped")
            .description("Targets at which a stream was not continued, as they may have restarted")
            .register(registry);

    private record ServiceRank(String service, int tierRank) {}

    private record HoldTimeGauges(AtomicLong holdMillis, AtomicLong changedUnixSeconds) {}

    /** Registers a gauge whose value is read at each scrape. */
    void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    void answered() {
        answered.increment();
    }

    /** Counts a task of the event loop that threw something; it goes on. */
    void taskFailed(String name) {
        taskFailures
                .computeIfAbsent(
                        name,
                        key -> Counter.builder("whinwharf.task.failures")
                                .description("Runs of a task that threw something")
                                .tag("task", key)
                                .register(registry))
                .increment();
    }

    void retried() {
        retries.increment();
    }

    void ejected() {
        ejections.increment();
    }

    void relayed() {
        relayedRequests.increment();
    }

    void connectFailed() {
        connectFailures.increment();
    }

    /** Counts a request that ended with an error from this process rather than a target's response. */
    void failed(ErrorKind kind) {
        failures.computeIfAbsent(
                        kind,
                        key -> counter(
                                "whinwharf.failures",
                                "Requests ended without a target's answer, by kind of error",
                                "kind",
                                key.wireName()))
                .increment();
    }

    /** Counts a stream that ended before its last event. */
    void streamTruncated(TruncationCause cause) {
        truncations
                .computeIfAbsent(
                        cause,
                        key -> counter(
                                "whinwharf.answers.cut",
                                "Streams that ended without their last event, by cause",
                                "cause",
                                key.tag()))
                .increment();
    }

    /** Counts a stream that had to be resumed, by this process or by its caller. */
    void streamResumption(ResumptionOutcome outcome) {
        resumptions
                .computeIfAbsent(
                        outcome,
                        key -> counter(
                                "whinwharf.streams.resumed",
                                "Streams that had to be resumed, by what became of them",
                                "outcome",
                                key.tag()))
                .increment();
    }

    /** Counts a report of a target on the process that serves its address. */
    void processReported(ProcessReport report) {
        processReports
                .computeIfAbsent(
                        report,
                        key -> counter(
                                "whinwharf.processes.reported",
                                "Reports of targets on the process that serves their address, by what they show",
                                "outcome",
                                key.tag()))
                .increment();
    }

    /** Counts a target at which a stream was not continued, since its process may not be the published one. */
    void streamTargetSkipped() {
        skippedStreamTargets.increment();
    }

    /** Counts a run whose target has sent nothing for too long. */
    void runSilent(RetryDecision decision) {
        silentRuns
                .computeIfAbsent(
                        decision,
                        key -> counter(
                                "whinwharf.runs.silent",
                                "Runs whose target sent nothing for too long, by whether another target is sought",
                                "decision",
                                key.tag()))
                .increment();
    }

    /** Counts a silent run whose target sent bytes again. */
    void runResumed() {
        endedSilences.increment();
    }

    /** Counts a target's response that ended after its head, completely or not. */
    void responseEnded(ResponseEnding ending) {
        responseEndings
                .computeIfAbsent(
                        ending,
                        key -> Counter.builder("whinwharf.responses")
                                .description("Responses of targets whose head was received, by how they ended")
                                .tag("framing", key.framing().tag())
                                .tag("ending", key.cause())
                                .tag("inside_event", String.valueOf(key.insideEvent()))
                                .register(registry))
                .increment();
    }

    /** Counts a response without a declared end whose connection ended in order. */
    void undeclaredEnd(TargetLiveness liveness) {
        undeclaredEnds
                .computeIfAbsent(
                        liveness,
                        key -> Counter.builder("whinwharf.undeclared.ends")
                                .description(
                                        "Responses ended by their connections in order, by what became of the target")
                                .tag("target", key.tag())
                                .register(registry))
                .increment();
    }

    /**
     * Counts a stream without a declared end whose end was judged.
     *
     * @param reason what speaks for the decision; one of a closed list
     */
    void streamEndJudged(EndDecision decision, String reason) {
        judgedEnds
                .computeIfAbsent(
                        decision.tag() + ' ' + reason,
                        key -> Counter.builder("whinwharf.stream.ends.judged")
                                .description("Streams without a declared end, by what became of their ends and why")
                                .tag("decision", decision.tag())
                                .tag("reason", reason)
                                .register(registry))
                .increment();
    }

    /** Counts a stream after whose end another target was asked for more. */
    void streamEndVerified(EndVerdict verdict) {
        verifiedEnds
                .computeIfAbsent(
                        verdict,
                        key -> counter(
                                "whinwharf.stream.ends.verified",
                                "Streams whose end was held to ask another target, by what that showed",
                                "verdict",
                                key.tag()))
                .increment();
    }

    /** Counts a response that is not known to answer the request of its connection. */
    void responseUnmatched(UnmatchedResponse reason) {
        unmatchedResponses
                .computeIfAbsent(
                        reason,
                        key -> counter(
                                "whinwharf.responses.unmatched",
                                "Responses that are not known to answer the request of their connection",
                                "reason",
                                key.tag()))
                .increment();
    }

    /** Counts a request to a peer for published items. */
    void itemsRequested(ItemsRequestOutcome outcome) {
        itemsRequests
                .computeIfAbsent(
                        outcome,
                        key -> counter(
                                "whinwharf.items.questions",
                                "Questions for published items to peers, by outcome",
                                "outcome",
                                key.tag()))
                .increment();
    }

    /** Counts bytes received in a peer's answer with published items. */
    void itemsReceived(long bytes) {
        receivedItemBytes.increment(bytes);
    }

    private Counter counter(String name, String description, String tag, String value) {
        return Counter.builder(name).description(description).tag(tag, value).register(registry);
    }

    /** Records the time from sending a request to the first byte of its response. */
    void recordFirstByte(RouteKind kind, long millis) {
        timer(firstBytes, kind, "whinwharf.first.byte", "Time from sending to the first byte")
                .record(Duration.ofMillis(millis));
    }

    /** Records the time for which a request was queued here before it was sent. */
    void recordQueueTime(RouteKind kind, long millis) {
        timer(queueTimes, kind, "whinwharf.waiting", "Time a request waited here")
                .record(Duration.ofMillis(millis));
    }

    /**
     * Records the average time for which the requests of a rank hold a slot, as this coordinator reported it last, and
     * when it did.
     */
    void recordHoldTime(String service, int tierRank, double holdMillis, long nowUnixMillis) {
        HoldTimeGauges gauges = holdTimes.computeIfAbsent(new ServiceRank(service, tierRank), this::registerHoldTime);
        gauges.holdMillis().set(Math.round(holdMillis));
        gauges.changedUnixSeconds().set(TimeUnit.MILLISECONDS.toSeconds(nowUnixMillis));
    }

    private HoldTimeGauges registerHoldTime(ServiceRank key) {
        HoldTimeGauges gauges = new HoldTimeGauges(new AtomicLong(), new AtomicLong());
        Tags tags = Tags.of("service", key.service(), "rank", String.valueOf(key.tierRank()));
        Gauge.builder("whinwharf.work.hold", gauges.holdMillis(), AtomicLong::get)
                .description("Average time for which requests of a rank hold a slot, as reported last")
                .baseUnit("milliseconds")
                .tags(tags)
                .register(registry);
        Gauge.builder("whinwharf.work.changed", gauges.changedUnixSeconds(), AtomicLong::get)
                .description("Unix time at which this average was reported")
                .baseUnit("seconds")
                .tags(tags)
                .register(registry);
        return gauges;
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape() {
        return registry.scrape();
    }

    private Timer timer(Map<RouteKind, Timer> timers, RouteKind kind, String name, String description) {
        return timers.computeIfAbsent(kind, key -> {
            Duration[] bounds = new Duration[BUCKET_BOUNDS_MILLIS.length];
            for (int i = 0; i < bounds.length; i++) {
                bounds[i] = Duration.ofMillis(BUCKET_BOUNDS_MILLIS[i]);
            }
            return Timer.builder(name)
                    .description(description)
                    .tag("kind", key.name().toLowerCase(Locale.ROOT))
                    .serviceLevelObjectives(bounds)
                    .register(registry);
        });
    }
}
