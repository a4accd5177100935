package org.whinwharf.bench.history;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonSerialize;
import java.util.Optional;
import org.immutables.value.Value;
import org.whinwharf.bench.PromptSpec;

/** One attempt of a caller as the caller saw it. Several attempts can serve one intent. Times are Unix milliseconds. */
@Value.Immutable
@JsonSerialize(as = ImmutableHistoryEntry.class)
@JsonDeserialize(as = ImmutableHistoryEntry.class)
public interface HistoryEntry {
    /** How an attempt ended. */
    enum Outcome {
        /** The caller has the whole answer. */
        WHOLE,
        /** The caller was told an error. */
        ERROR,
        /** The connection ended with neither. */
        BROKEN
    }

    /** Returns the name of what the caller wants done; all attempts at it carry the same name. */
    String intent();

    /** Returns the number of the attempt within the intent, from 0. */
    int attempt();

    /** Returns the id that the system gave to the request; empty while the caller knows none. */
    @Value.Default
    default String requestId() {
        return "";
    }

    /** Returns a digest of the ticket; empty when sent without one. */
    @Value.Default
    default String ticket() {
        return "";
    }

    /** Returns the number under the ticket; -1 when sent without one. */
    @Value.Default
    default long number() {
        return -1;
    }

    /** Returns the service asked for. */
    String service();

    /** Returns the call of a plain service; empty for engines. */
    @Value.Default
    default String call() {
        return "";
    }

    /** Returns the body of a call; empty for engines. */
    @Value.Default
    default String body() {
        return "";
    }

    /** Returns the prompt; absent for plain services. */
    Optional<PromptSpec> prompt();

    /** Returns the tokens asked for; 0 for plain services. */
    @Value.Default
    default int maxTokens() {
        return 0;
    }

    /** Returns whether the request may run more than once. */
    @Value.Default
    default boolean idempotent() {
        return true;
    }

    /** Returns the caller's organisation. */
    String organisation();

    /** Returns the rank of the caller's tier; the highest is shed last. */
    int tierRank();

    /** Returns the time that the caller gave for the whole answer; 0 when it gave none. */
    @Value.Default
    default long deadlineMillis() {
        return 0;
    }

    /** Returns when the attempt was sent. */
    long sentMillis();

    /** Returns when the caller was told that a target has the request; 0 when it was not. */
    @Value.Default
    default long headMillis() {
        return 0;
    }

    /** Returns when the first token came; 0 when none did. */
    @Value.Default
    default long firstTokenMillis() {
        return 0;
    }

    /** Returns when the attempt ended. */
    long endMillis();

    /** Returns how the attempt ended. */
    Outcome outcome();

    /** Returns the target that the caller was told of; empty for none. */
    @Value.Default
    default String target() {
        return "";
    }

    /** Returns the tokens that came. */
    @Value.Default
    default int tokens() {
        return 0;
    }

    /** Returns a digest of the text that came, see {@link org.whinwharf.standin.StandInText#inputDigest}. */
    @Value.Default
    default String textDigest() {
        return "";
    }

    /** Returns the name of the error kind; empty for none. */
    @Value.Default
    default String error() {
        return "";
    }

    /** Returns {@code ran}, {@code not-run} or {@code unknown}; empty where no error was told. */
    @Value.Default
    default String ran() {
        return "";
    }

    /** Returns when the caller was told to come back, from the answer on; 0 for never. */
    @Value.Default
    default long comeBackMillis() {
        return 0;
    }

    /** Returns how often the caller went on with the answer over another connection. */
    @Value.Default
    default int resumes() {
        return 0;
    }
}
