package org.whinwharf.front;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.traffic.catalog.RouteKind;

/** Counters, gauges and latency histograms of one front process. */
final class FrontMetrics {
    /** Bounds of the histograms in milliseconds: the objectives in use lie between 100 and 800. */
    private static final long[] BUCKET_BOUNDS_MILLIS = {10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 10_000};

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<ErrorKind, Counter> failures = new EnumMap<>(ErrorKind.class);
    private final Map<TruncationCause, Counter> truncations = new EnumMap<>(TruncationCause.class);
    private final Map<ItemsRequestOutcome, Counter> itemsRequests = new EnumMap<>(ItemsRequestOutcome.class);
    private final Map<RouteKind, Timer> firstBytes = new EnumMap<>(RouteKind.class);
    private final Map<RouteKind, Timer> queueTimes = new EnumMap<>(RouteKind.class);
    private final Counter answered = Counter.builder("whinwharf.answers")
            .description("Answers of targets that were passed on")
            .register(registry);
    private final Counter retries = Counter.builder("whinwharf.repeats")
            .description("Requests sent to a further target")
            .register(registry);
    private final Counter ejections = Counter.builder("whinwharf.ejections")
            .description("Targets taken out of use after failures")
            .register(registry);
    private final Counter receivedItemBytes = Counter.builder("whinwharf.items.received")
            .description("Bytes of published items that peers sent, incomplete answers included")
            .baseUnit("bytes")
            .register(registry);

    /** Registers a value that is read when metrics are asked for. */
    void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    void answered() {
        answered.increment();
    }

    void retried() {
        retries.increment();
    }

    void ejected() {
        ejections.increment();
    }

    /** Counts a request that ended with a failure of this process. */
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

    /** Counts a stream that ended without its last event. */
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

    /** Counts a question for published items to a peer. */
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

    /** Counts bytes of an answer to such a question. */
    void itemsReceived(long bytes) {
        receivedItemBytes.increment(bytes);
    }

    private Counter counter(String name, String description, String tag, String value) {
        return Counter.builder(name).description(description).tag(tag, value).register(registry);
    }

    /** Takes the time from sending a request to the first byte of its answer. */
    void recordFirstByte(RouteKind kind, long millis) {
        timer(firstBytes, kind, "whinwharf.first.byte", "Time from sending to the first byte")
                .record(Duration.ofMillis(millis));
    }

    /** Takes the time that a request waited here before it was sent. */
    void recordQueueTime(RouteKind kind, long millis) {
        timer(queueTimes, kind, "whinwharf.waiting", "Time a request waited here")
                .record(Duration.ofMillis(millis));
    }

    /** Returns all values in Prometheus's text format. */
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
