package org.whinwharf.standin.internal;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** Starts the weight store. */
@Command(name = WeightsCommand.NAME, description = "Rate-limited weight store")
public final class WeightsCommand extends ServerCommand {
    static final String NAME = "weights";

    @Option(name = "--loads-per-second", title = "R", description = "Loads a second; more get 429")
    private double loadsPerSecond = 2;

    @Option(name = "--body-millis", title = "N", description = "Time one load takes")
    private long bodyMillis = 500;

    @Override
    public void run() {
        serve(NAME, new Weights(loadsPerSecond, bodyMillis));
    }
}
