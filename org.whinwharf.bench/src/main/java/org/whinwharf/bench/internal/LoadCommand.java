package org.whinwharf.bench.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.whinwharf.bench.history.HistoryEntry;
import org.whinwharf.bench.history.HistoryFiles;

/** Command line of the load tool. */
@Command(name = "whinwharf-load", description = "Sends a seeded load and prints a summary as JSON")
public final class LoadCommand implements Runnable {
    @Option(name = "--profile", title = "FILE", description = "Callers and kinds of requests, JSON with comments")
    @Required
    private String profile;

    @Option(name = "--entries", title = "IP:PORT,...", description = "Entry hosts to ask for addresses first")
    private String entries = "";

    @Option(name = "--direct", title = "IP:PORT,...", description = "Engines to send to in turn, without whinwharf")
    private String direct = "";

    @Option(name = "--direct-plain", title = "IP:PORT,...", description = "Plain services to send to in turn")
    private String directPlain = "";

    @Option(name = "--rate", title = "N", description = "Requests a second")
    private double rate = 10;

    @Option(name = "--seconds", title = "N", description = "How long requests are sent")
    private double seconds = 10;

    @Option(
            name = "--warm-seconds",
            title = "N",
            description = "How long requests are sent before the summary begins; the history has them")
    private double warmSeconds = 2;

    @Option(name = "--seed", title = "N", description = "Seed of times, callers, kinds and prompts")
    private long seed = 1;

    @Option(name = "--run", title = "NAME", description = "Name of the run, in each prompt; random when absent")
    private String run = Integer.toHexString(RandomSource.createInt());

    @Option(name = "--retry-ratio", title = "R", description = "Retries allowed per fresh request")
    private double retryRatio = 0.1;

    @Option(name = "--history", title = "FILE", description = "Where each attempt goes, as JSON lines")
    private String history = "";

    @Override
    public void run() {
        Exchange exchange = new Exchange();
        try (BufferedWriter out = Files.newBufferedWriter(Path.of(history.isEmpty() ? "/dev/null" : history))) {
            LoadProfile loaded = LoadProfile.read(Path.of(profile));
            Transport transport = transport(exchange, loaded);
            Workload workload = new Workload(loaded, rate, seed, run);
            LoadRun load = new LoadRun(transport, workload, retryRatio, entry -> write(out, entry));
            ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
            System.out.println(mapper.writeValueAsString(load.call(warmSeconds, seconds)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Transport transport(Exchange exchange, LoadProfile loaded) {
        if (!direct.isEmpty() || !directPlain.isEmpty()) {
            return new DirectTransport(exchange, urls(direct), urls(directPlain));
        }
        return new EntryTransport(exchange, loaded, urls(entries));
    }

    private static List<String> urls(String addresses) {
        return Arrays.stream(addresses.split(","))
                .filter(address -> !address.isEmpty())
                .map(address -> "http://" + address)
                .toList();
    }

    private static void write(Writer out, HistoryEntry entry) {
        try {
            synchronized (out) {
                out.write(HistoryFiles.line(entry) + "\n");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
