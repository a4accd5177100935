package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.pgm.internal.CommandFailure;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Terminal;
import org.whinwharf.pgm.internal.trace.Span;
import org.whinwharf.pgm.internal.trace.TraceLog;
import org.whinwharf.pgm.internal.trace.TraceReport;
import org.whinwharf.pgm.internal.trace.TracesReport;

/** Draws the path of one request, hop by hop, from logs. */
@Command(name = "trace", description = "Draw one request's path with its times, from the spans in logs")
public final class Trace extends OperatorCommand {
    private static final String STANDARD_INPUT = "-";

    @Arguments(title = "REQUEST", description = "Id of the request, or of the trace")
    private String request = "";

    @Option(name = "--last", title = "N", description = "Draw the latest N traces of the logs instead of one request")
    private int last;

    @Option(name = "--logs", title = "FILE", description = "Log of a daemon, - for standard input; may be repeated")
    @Required
    private List<String> logs = new ArrayList<>();

    @Override
    protected OperatorExit run(Terminal terminal) throws CommandFailure {
        if (request.isEmpty() == (last <= 0)) {
            throw new CommandFailure(OperatorExit.USAGE, PgmText.get("usage.trace"));
        }
        TraceLog log = new TraceLog(request);
        for (String file : logs) {
            read(log, file, terminal);
        }
        List<List<Span>> traces = last > 0 ? log.last(last) : List.of(log.spans());
        List<TraceReport> reports = traces.stream()
                .filter(spans -> !spans.isEmpty())
                .map(spans -> new TraceReport(spans.get(0).traceId(), spans))
                .toList();
        if (reports.isEmpty()) {
            throw new CommandFailure(OperatorExit.NOT_FOUND, PgmText.get("trace.none", request));
        }
        print(terminal, new TracesReport(reports));
        return OperatorExit.OK;
    }

    private static void read(TraceLog log, String file, Terminal terminal) throws CommandFailure {
        try {
            if (file.equals(STANDARD_INPUT)) {
                log.read(new BufferedReader(new InputStreamReader(terminal.in(), StandardCharsets.UTF_8)));
                return;
            }
            try (BufferedReader lines = Files.newBufferedReader(Path.of(file))) {
                log.read(lines);
            }
        } catch (IOException e) {
            throw new CommandFailure(OperatorExit.FAILED, PgmText.get("file.unreadable", file, e.toString()));
        }
    }
}
