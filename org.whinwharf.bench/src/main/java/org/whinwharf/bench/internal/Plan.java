package org.whinwharf.bench.internal;

import java.util.Optional;
import org.whinwharf.bench.PromptSpec;
import org.whinwharf.bench.history.ImmutableHistoryEntry;

/**
 * One request that a caller will send.
 *
 * @param intent unique name
 * @param atMicros when to send it, in microseconds from the start of the load
 * @param caller who sends it
 * @param kind what is sent
 * @param prompt prompt of an engine's request
 */
record Plan(String intent, long atMicros, LoadProfile.Caller caller, LoadProfile.Kind kind, PromptSpec prompt) {
    /** Returns the body of a plain call; it names the intent, so that a repeat shows in the service's record. */
    String body() {
        return "{\"intent\":\"" + intent + "\"}";
    }

    ImmutableHistoryEntry.Builder entry(int attempt) {
        return ImmutableHistoryEntry.builder()
                .intent(intent)
                .attempt(attempt)
                .service(kind.service())
                .call(kind.plain() ? kind.call() : "")
                .body(kind.plain() ? body() : "")
                .prompt(kind.plain() ? Optional.empty() : Optional.of(prompt))
                .maxTokens(kind.maxTokens())
                .idempotent(kind.idempotent())
                .organisation(caller.organisation())
                .tierRank(caller.rank())
                .deadlineMillis(kind.deadlineMillis());
    }
}
