package org.whinwharf.home;

import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Ran;

/**
 * How a request ended.
 *
 * @param error kind of the error; empty when the answer is complete
 * @param detail human-readable description of the error
 * @param retryAfterMillis Retry-After delay in milliseconds; 0 when the kind of error has none
 * @param target target that the request was sent to; empty when it was not sent
 * @param tokens tokens of the answer
 */
public record Outcome(Optional<ErrorKind> error, String detail, long retryAfterMillis, String target, int tokens) {
    /**
     * Creates the outcome of a complete answer.
     *
     * @param target target that answered
     * @param tokens tokens of the answer
     * @return outcome without error
     */
    public static Outcome completed(String target, int tokens) {
        return new Outcome(Optional.empty(), "", 0, target, tokens);
    }

    /**
     * Creates the outcome of a failure.
     *
     * @param kind kind of the error
     * @param detail human-readable description of the error
     * @param retryAfterMillis Retry-After delay in milliseconds; ignored when the kind of error has none
     * @param target target that the request was sent to; empty when it was not sent
     * @return outcome with the error
     */
    public static Outcome failed(ErrorKind kind, String detail, long retryAfterMillis, String target) {
        return new Outcome(Optional.of(kind), detail, kind.hasRetryAfter() ? retryAfterMillis : 0, target, 0);
    }

    /**
     * Returns whether the request ran.
     *
     * @return whether it ran, or that this is unknown
     */
    public Ran ran() {
        return error.map(ErrorKind::ran).orElse(Ran.RAN);
    }
}
