package org.whinwharf.pgm.internal.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/** Finds the spans of one request in the log lines of any number of daemons. */
public final class TraceLog {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern TRACE_ID = Pattern.compile("[0-9a-f]{32}");
    private static final String SPAN_EVENT = "span";

    private final String wanted;
    private final Map<String, List<Span>> spansByTrace = new HashMap<>();
    private String traceId;

    /**
     * Begins a search.
     *
     * @param wanted id of a request or of a trace; empty for none
     */
    public TraceLog(String wanted) {
        this.wanted = wanted;
        this.traceId = TRACE_ID.matcher(wanted).matches() ? wanted : null;
    }

    /**
     * Reads log lines. Lines that are no JSON are passed over, since other programs may write into the same log.
     *
     * @param lines the log
     * @throws IOException when it cannot be read
     */
    public void read(BufferedReader lines) throws IOException {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.startsWith("{")) {
                readLine(line);
            }
        }
    }

    /**
     * Returns the spans of the request.
     *
     * @return spans in the order of the log; empty when the log has none of it
     */
    public List<Span> spans() {
        return traceId == null ? List.of() : List.copyOf(spansByTrace.getOrDefault(traceId, List.of()));
    }

    /**
     * Returns the latest traces of the log.
     *
     * @param count most traces to return
     * @return spans of each trace, the earliest trace first
     */
    public List<List<Span>> last(int count) {
        List<List<Span>> traces = spansByTrace.values().stream()
                .sorted(Comparator.comparingLong(TraceLog::startUnixNanos))
                .toList();
        return traces.subList(Math.max(0, traces.size() - count), traces.size());
    }

    private static long startUnixNanos(List<Span> spans) {
        return spans.stream().mapToLong(Span::startUnixNanos).min().orElse(0);
    }

    private void readLine(String line) {
        try {
            JsonNode node = JSON.readTree(line);
            if (node.path("event").asText().equals(SPAN_EVENT)) {
                readSpan(node);
            } else if (isWanted(node.path("request").asText()) && node.hasNonNull("traceId")) {
                traceId = node.path("traceId").asText();
            }
        } catch (JsonProcessingException e) {
            // A line that was cut, for example by the end of a log that is still written, holds no whole span.
            return;
        }
    }

    private boolean isWanted(String id) {
        return !wanted.isEmpty() && id.equals(wanted);
    }

    private void readSpan(JsonNode node) {
        Map<String, String> attributes = new TreeMap<>();
        node.path("attributes")
                .fields()
                .forEachRemaining(
                        entry -> attributes.put(entry.getKey(), entry.getValue().asText()));
        Span span = new Span(
                node.path("traceId").asText(),
                node.path("spanId").asText(),
                node.path("parentSpanId").asText(),
                node.path("name").asText(),
                node.path("startUnixNanos").asLong(),
                node.path("durationMicros").asLong(),
                attributes);
        spansByTrace.computeIfAbsent(span.traceId(), key -> new ArrayList<>()).add(span);
        if (traceId == null && attributes.values().stream().anyMatch(this::isWanted)) {
            traceId = span.traceId();
        }
    }
}
