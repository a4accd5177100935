package org.whinwharf.pgm.internal.trace;

import java.util.ArrayList;
import java.util.List;
import org.whinwharf.pgm.internal.Report;

/**
 * Paths of some requests.
 *
 * @param traces a trace for each request
 */
public record TracesReport(List<TraceReport> traces) implements Report {
    /**
     * Copies the list.
     *
     * @param traces a trace for each request
     */
    public TracesReport {
        traces = List.copyOf(traces);
    }

    @Override
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (TraceReport trace : traces) {
            if (!lines.isEmpty()) {
                lines.add("");
            }
            lines.addAll(trace.lines());
        }
        return lines;
    }
}
