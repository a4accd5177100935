package org.whinwharf.standin.internal;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;

/** Starts plain services. */
@Command(name = PlainCommand.NAME, description = "Plain service whose calls may not be repeated")
public final class PlainCommand extends ServerCommand {
    static final String NAME = "plain";

    @Option(name = "--slots", title = "N", description = "Calls that run at once; more get 503")
    private int slots = 16;

    @Option(name = "--millis", title = "M", description = "Time a call takes")
    private long millis = 20;

    @Override
    public void run() {
        Map<InetSocketAddress, Plain> plains = new HashMap<>();
        for (InetSocketAddress address : addresses()) {
            plains.put(address, new Plain(slots, millis, RandomSource.createLong() & Long.MAX_VALUE));
        }
        serve(NAME, new Plains(new Instances<>(plains)));
    }
}
