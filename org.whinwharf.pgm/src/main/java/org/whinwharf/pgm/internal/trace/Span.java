package org.whinwharf.pgm.internal.trace;

import java.util.Map;

/**
 * One hop of a request, as a daemon logged it.
 *
 * @param traceId id of the trace
 * @param spanId id of the span
 * @param parentSpanId id of its parent; empty for the first hop
 * @param name name of the hop
 * @param startUnixNanos wall clock of its host at the start, in nanoseconds
 * @param durationMicros how long it took, in microseconds
 * @param attributes what the daemon noted
 */
public record Span(
        String traceId,
        String spanId,
        String parentSpanId,
        String name,
        long startUnixNanos,
        long durationMicros,
        Map<String, String> attributes) {
    /**
     * Copies the map.
     *
     * @param traceId id of the trace
     * @param spanId id of the span
     * @param parentSpanId id of its parent
     * @param name name of the hop
     * @param startUnixNanos wall clock at the start, in nanoseconds
     * @param durationMicros how long it took, in microseconds
     * @param attributes what the daemon noted
     */
    public Span {
        attributes = Map.copyOf(attributes);
    }
}
