package org.whinwharf.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.whinwharf.entry.internal.EntryProcess;
import org.whinwharf.runtime.command.Daemon;
import org.whinwharf.runtime.command.WorkInFlight;
import org.whinwharf.wire.schema.EntrySettings;

/** Process that speaks with callers and is the home of their requests. */
public final class EntryDaemon implements Daemon {
    private final EntryProcess process;

    /**
     * Makes a daemon. Opens no port.
     *
     * @param settings checked settings
     */
    public EntryDaemon(EntrySettings settings) {
        process = new EntryProcess(settings);
    }

    @Override
    public void start() {
        process.start();
    }

    @Override
    public CompletableFuture<Void> leave() {
        return process.leave();
    }

    @Override
    public Optional<WorkInFlight> workInFlight() {
        return Optional.of(process.workInFlight());
    }

    @Override
    public void stop() {
        process.stop();
    }
}
