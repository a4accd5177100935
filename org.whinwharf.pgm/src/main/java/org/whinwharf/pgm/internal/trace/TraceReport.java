package org.whinwharf.pgm.internal.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;
import org.whinwharf.pgm.internal.Table;

/**
 * Path of one request.
 *
 * @param traceId id of the trace
 * @param spans its spans
 */
public record TraceReport(String traceId, List<Span> spans) implements Report {
    private static final int BAR_WIDTH = 40;
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * Copies the list.
     *
     * @param traceId id of the trace
     * @param spans its spans; at least one
     */
    public TraceReport {
        spans = spans.stream()
                .sorted(Comparator.comparingLong(Span::startUnixNanos))
                .toList();
    }

    @Override
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(PgmText.get("trace.head", traceId, spans.size(), millis(endMicros())));
        Table table = new Table("START MS", "TOOK MS", "HOP", "", "");
        Set<String> ids = spans.stream().map(Span::spanId).collect(Collectors.toSet());
        for (Span span : spans) {
            if (!ids.contains(span.parentSpanId())) {
                draw(span, 0, table);
            }
        }
        lines.addAll(table.lines());
        return lines;
    }

    private void draw(Span span, int depth, Table table) {
        Map<String, String> sorted = new TreeMap<>(span.attributes());
        table.row(
                millis(startMicros(span)),
                millis(span.durationMicros()),
                "  ".repeat(depth) + span.name(),
                bar(span),
                sorted.isEmpty() ? "" : sorted.toString());
        for (Span child : spans) {
            if (child.parentSpanId().equals(span.spanId()) && child != span) {
                draw(child, depth + 1, table);
            }
        }
    }

    private String bar(Span span) {
        double scale = BAR_WIDTH / (double) Math.max(1, endMicros());
        int start = (int) Math.min(BAR_WIDTH - 1, startMicros(span) * scale);
        int length = (int) Math.max(1, Math.min(BAR_WIDTH - start, Math.round(span.durationMicros() * scale)));
        return "|" + " ".repeat(start) + "=".repeat(length) + " ".repeat(BAR_WIDTH - start - length) + "|";
    }

    private long startMicros(Span span) {
        return TimeUnit.NANOSECONDS.toMicros(
                span.startUnixNanos() - spans.get(0).startUnixNanos());
    }

    private long endMicros() {
        return spans.stream()
                .mapToLong(span -> startMicros(span) + span.durationMicros())
                .max()
                .orElse(0);
    }

    private static String millis(long micros) {
        return String.format(Locale.ROOT, "%.1f", micros / MICROS_PER_MILLI);
    }
}
