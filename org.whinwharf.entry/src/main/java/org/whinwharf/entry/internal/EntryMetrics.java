package org.whinwharf.entry.internal;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.time.Duration;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.HomeAction;
import org.whinwharf.home.RequestTimes;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;

/** Counts ended requests and logs each of them. */
final class EntryMetrics {
    private static final String WHOLE = "whole";

    private final MeterRegistry registry;

    EntryMetrics(MeterRegistry registry, HomeDuty home, Sessions sessions, Targets targets) {
        this.registry = registry;
        Gauge.builder("whinwharf.requests.waiting", home, HomeDuty::waitingCount)
                .register(registry);
        Gauge.builder("whinwharf.requests.live", home, HomeDuty::liveCount).register(registry);
        Gauge.builder("whinwharf.callers", sessions, Sessions::count).register(registry);
        Gauge.builder("whinwharf.target.connections", targets, Targets::connectionCount)
                .register(registry);
    }

    /** Counts a request that was refused before it reached the home. */
    void refused(ErrorKind kind) {
        registry.counter("whinwharf.requests.refused", "kind", kind.wireName()).increment();
    }

    /**
     * Counts an answer that ended without its last event.
     *
     * @param reason one of the reasons of {@link CloseCause}, perhaps with details after a colon
     */
    void answerCut(String reason) {
        int colon = reason.indexOf(':');
        String kind = colon < 0 ? reason : reason.substring(0, colon);
        registry.counter("whinwharf.answers.cut", "cause", kind).increment();
    }

    void ended(String requestId, HomeAction.RecordMetrics action) {
        String kind = action.outcome().error().map(ErrorKind::wireName).orElse(WHOLE);
        Tags tags = Tags.of(
                "service",
                action.submission().service(),
                "tier",
                String.valueOf(action.submission().tierRank()));
        registry.counter("whinwharf.requests.ended", tags.and("kind", kind)).increment();
        count(action.times(), tags, kind.equals(WHOLE));
        log(requestId, action, kind);
    }

    private void count(RequestTimes times, Tags tags, boolean whole) {
        registry.timer("whinwharf.waited", tags).record(Duration.ofMillis(times.waitedMillis()));
        registry.counter("whinwharf.prefill.tokens", tags).increment(times.prefillTokens());
        if (whole) {
            registry.counter("whinwharf.goodput.tokens", tags).increment(times.answerTokens());
        } else {
            registry.counter("whinwharf.prefill.wasted.tokens", tags).increment(times.prefillTokens());
        }
        if (times.answerTokens() > 0) {
            registry.timer("whinwharf.first.token", tags).record(Duration.ofMillis(times.firstTokenMillis()));
        }
        if (times.answerTokens() > 1) {
            long perTokenMicros = (times.totalMillis() - times.firstTokenMillis()) * 1_000 / (times.answerTokens() - 1);
            registry.timer("whinwharf.per.token", tags).record(Duration.ofNanos(perTokenMicros * 1_000));
        }
    }

    private static void log(String requestId, HomeAction.RecordMetrics action, String kind) {
        EventLog.event(LogEvent.REQUEST_ENDED)
                .with(EventField.REQUEST, requestId)
                .with(EventField.TARGET, action.outcome().target())
                .with(EventField.KIND, kind)
                .with(EventField.RAN, action.outcome().ran().wireName())
                .with(EventField.REASON, action.outcome().detail())
                .with(EventField.PREFILL_TOKENS, action.times().prefillTokens())
                .with(EventField.ANSWER_TOKENS, action.times().answerTokens())
                .with(EventField.TOTAL_MILLIS, action.times().totalMillis())
                .with(EventField.RETRY_AFTER_MILLIS, action.outcome().retryAfterMillis())
                .call();
    }
}
