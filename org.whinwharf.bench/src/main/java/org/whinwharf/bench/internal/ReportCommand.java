package org.whinwharf.bench.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.whinwharf.bench.history.HistoryFiles;
import org.whinwharf.bench.history.TargetHistory;
import org.whinwharf.bench.internal.LoadSummary.PercentilesJson;
import org.whinwharf.bench.internal.LoadSummary.SummaryJson;
import org.whinwharf.bench.internal.LoadSummary.TallyJson;
import org.whinwharf.standin.record.EngineRecord;
import org.whinwharf.standin.record.StreamRecord;

/** Prints one row of a Markdown table; with {@code --head} the table's head before it. */
@Command(name = "whinwharf-report", description = "Prints a row from a load's summary and its targets' records")
public final class ReportCommand implements Callable<Integer> {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final PercentilesJson NONE = new PercentilesJson(0, 0, 0, 0);

    @Option(name = "--name", title = "NAME", description = "First column of the row")
    @Required
    private String name;

    @Option(name = "--summary", title = "FILE", description = "What whinwharf-load printed")
    @Required
    private String summaryFile;

    @Option(name = "--targets", title = "FILE", description = "Records that whinwharf-check-history saved")
    @Required
    private String targetsFile;

    @Option(name = "--head", description = "Print the head of the table first")
    private boolean head;

    /**
     * Prints the row.
     *
     * @return 0
     * @throws IOException when a file cannot be read
     */
    @Override
    public Integer call() throws IOException {
        SummaryJson summary = MAPPER.readValue(Path.of(summaryFile).toFile(), SummaryJson.class);
        List<TargetHistory> targets = HistoryFiles.readTargets(Path.of(targetsFile));
        if (head) {
            printHead(summary);
        }
        print(cells(summary, targets));
        return 0;
    }

    private static void printHead(SummaryJson summary) {
        List<String> cells = new ArrayList<>(List.of("run"));
        summary.byTier().keySet().stream().sorted().forEach(tier -> cells.add(tier + ", in time/offered"));
        summary.firstTokenMillis().keySet().stream()
                .sorted()
                .forEach(kind -> cells.add(kind + ", first token p50/p95/p99 ms"));
        cells.add("between tokens p50/p95 ms");
        cells.add("prefilled of prompt tokens, %");
        cells.add("prefill of answers not whole, %");
        cells.add("most in flight at an engine");
        cells.add("errors");
        print(cells);
        print(cells.stream().map(cell -> "---").toList());
    }

    private List<String> cells(SummaryJson summary, List<TargetHistory> targets) {
        List<String> cells = new ArrayList<>(List.of(name));
        summary.byTier().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> cells.add(goodput(entry.getValue())));
        summary.firstTokenMillis().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> cells.add(percentiles(entry.getValue())));
        PercentilesJson gap = summary.tokenGapMillis() == null ? NONE : summary.tokenGapMillis();
        cells.add(String.format(Locale.ROOT, "%.0f/%.0f", gap.p50(), gap.p95()));
        List<EngineRecord> engines =
                targets.stream().flatMap(target -> target.engine().stream()).toList();
        cells.add(percent(engines, StreamRecord::prefillTokens, StreamRecord::promptTokens));
        cells.add(percent(
                engines,
                stream -> stream.outcome().equals("completed") ? 0 : stream.prefillTokens(),
                StreamRecord::prefillTokens));
        cells.add(Integer.toString(
                engines.stream().mapToInt(EngineRecord::maxInFlight).max().orElse(0)));
        cells.add(summary.errors().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getValue() + " " + entry.getKey())
                .collect(Collectors.joining(", ")));
        return cells;
    }

    private static String goodput(TallyJson tally) {
        int percent = tally.offered() == 0 ? 0 : 100 * tally.inTime() / tally.offered();
        return tally.inTime() + "/" + tally.offered() + " (" + percent + " %)";
    }

    private static String percentiles(PercentilesJson times) {
        return String.format(Locale.ROOT, "%.0f/%.0f/%.0f", times.p50(), times.p95(), times.p99());
    }

    private static String percent(List<EngineRecord> engines, Tokens part, Tokens whole) {
        long parts = 0;
        long wholes = 0;
        for (EngineRecord engine : engines) {
            for (StreamRecord stream : engine.streams()) {
                parts += part.of(stream);
                wholes += whole.of(stream);
            }
        }
        return wholes == 0 ? "-" : String.format(Locale.ROOT, "%.1f", 100.0 * parts / wholes);
    }

    private static void print(List<String> cells) {
        System.out.println("| " + String.join(" | ", cells) + " |");
    }

    /** Counts tokens of a stream. */
    @FunctionalInterface
    private interface Tokens {
        int of(StreamRecord stream);
    }
}
