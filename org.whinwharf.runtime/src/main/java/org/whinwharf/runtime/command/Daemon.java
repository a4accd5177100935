package org.whinwharf.runtime.command;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.whinwharf.lifecycle.Service;

/** Process that serves until it is told to leave. */
public interface Daemon extends Service {
    /**
     * Begins a planned stop: takes no new work and lets what is in flight end. Called at most once.
     *
     * @return completes when nothing is in flight any more; never fails
     */
    CompletableFuture<Void> leave();

    /**
     * Describes the work that is in flight, for the log. Reads counters that other threads keep; never waits.
     *
     * @return the work; empty if this daemon does not count it
     */
    default Optional<WorkInFlight> workInFlight() {
        return Optional.empty();
    }
}
