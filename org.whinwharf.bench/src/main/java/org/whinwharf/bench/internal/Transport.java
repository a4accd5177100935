package org.whinwharf.bench.internal;

import org.whinwharf.bench.history.HistoryEntry;
import reactor.core.publisher.Mono;

/** Way by which requests reach their targets. */
interface Transport {
    /**
     * Sends a request once.
     *
     * @param log takes what is seen
     * @param repeated attempt whose ticket and number are sent again; null for a fresh one
     * @return the finished attempt; never an error
     */
    Mono<HistoryEntry> send(AttemptLog log, EntryTransport.Numbered repeated);

    /** Returns whether attempts may follow on errors. */
    boolean retries();
}
