package org.whinwharf.runtime.trace;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;

/** Writes each span as one log line. */
final class LogSpanExporter implements SpanExporter {
    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        spans.forEach(LogSpanExporter::write);
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }

    private static void write(SpanData span) {
        long durationNanos = span.getEndEpochNanos() - span.getStartEpochNanos();
        Map<String, Object> attributes = new TreeMap<>();
        span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), value));
        EventLog.event(LogEvent.SPAN)
                .with(EventField.TRACE_ID, span.getTraceId())
                .with(EventField.SPAN_ID, span.getSpanId())
                .with(EventField.PARENT_SPAN_ID, span.getParentSpanContext().isValid() ? span.getParentSpanId() : "")
                .with(EventField.NAME, span.getName())
                .with(EventField.START_UNIX_NANOS, span.getStartEpochNanos())
                .with(EventField.DURATION_MICROS, TimeUnit.NANOSECONDS.toMicros(durationNanos))
                .with(EventField.ATTRIBUTES, attributes)
                .call();
    }
}
