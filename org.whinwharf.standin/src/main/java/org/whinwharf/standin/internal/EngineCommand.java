package org.whinwharf.standin.internal;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Starts model engines. */
@Command(name = EngineCommand.NAME, description = "Model engines with continuous batches")
public final class EngineCommand extends ServerCommand {
    static final String NAME = "engine";

    private static final int QUEUED_PER_SLOT = 4;

    @Option(name = "--slots", title = "N", description = "Streams that run at once")
    private int slots = 16;

    @Option(
            name = "--token-millis",
            title = "M[,M...]",
            description = "Time between tokens; several values go round over the engines")
    private String tokenMillis = "10";

    @Option(name = "--prefill-tokens-per-second", title = "R", description = "Prompt tokens read a second")
    private double prefillTokensPerSecond = 8000;

    @Option(name = "--cold-requests", title = "K", description = "Streams in flight that a cold engine bears")
    private int coldRequests = 1;

    @Option(name = "--cache-tokens", title = "C", description = "Prompt tokens that the prefix cache holds")
    private int cacheTokens = 65536;

    @Option(name = "--load-lag-millis", title = "L", description = "Lag of the reported load")
    private long loadLagMillis = 300;

    @Option(name = "--cache-lag-millis", title = "L", description = "Lag of cache events")
    private long cacheLagMillis = 500;

    @Option(name = "--cache-loss", title = "SHARE", description = "Share of cache events that are lost")
    private double cacheLoss = 0.05;

    @Option(name = "--ignores-fencing", description = "Carry out orders with old fencing numbers too")
    private boolean ignoresFencing;

    @Option(
            name = "--models",
            title = "NAME:VERSION[,...]",
            description = "Models loaded at start; with none every model is served until the first order")
    private String models = "";

    @Option(name = "--cold-load-millis", title = "N", description = "Time that loading a model takes")
    private long loadMillis = 1000;

    @Option(name = "--keep-millis", title = "N", description = "How long a finished stream can be resumed")
    private long keepMillis = 30_000;

    @Option(name = "--seed", title = "N", description = "Seed of what is random")
    private long seed = 1;

    @Override
    public void run() {
        Map<InetSocketAddress, Engine> byAddress = new HashMap<>();
        List<String> speeds = Arrays.asList(tokenMillis.split(","));
        List<String> loaded = models.isEmpty() ? List.of() : List.of(models.split(","));
        int index = 0;
        for (InetSocketAddress address : addresses()) {
            EngineSettings settings = settings(Double.parseDouble(speeds.get(index % speeds.size())), seed + index);
            EngineOrders orders = new EngineOrders(ignoresFencing, loaded);
            byAddress.put(address, new Engine(settings, orders, Engines.nowMillis()));
            index++;
        }
        Engines engines = new Engines(new Instances<>(byAddress), loadMillis);
        engines.start();
        serve(NAME, engines);
    }

    private EngineSettings settings(double engineTokenMillis, long engineSeed) {
        return ImmutableEngineSettings.builder()
                .slots(slots)
                .maxQueued(slots * QUEUED_PER_SLOT)
                .tokenMillis(engineTokenMillis)
                .prefillTokensPerSecond(prefillTokensPerSecond)
                .coldRequests(coldRequests)
                .cacheTokens(cacheTokens)
                .loadLagMillis(loadLagMillis)
                .cacheLagMillis(cacheLagMillis)
                .cacheLoss(cacheLoss)
                .keepMillis(keepMillis)
                .seed(engineSeed)
                .build();
    }
}
