package org.whinwharf.home;

import java.util.Optional;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Ran;

/**
 * How a request ended.
 *
 * @param error kind of the error, or nothing when the answer is whole
 * @param detail what exactly happened, for people
 * @param retryAfterMillis when to come back; 0 when the kind says nothing of it
 * @param target target that the request was sent to; empty when it was not sent
 * @param tokens tokens of the answer
 */
public record Outcome(Optional<ErrorKind> error, String detail, long retryAfterMillis, String target, int tokens) {
    /**
     * Makes the outcome of a whole answer.
     *
     * @param target who answered
     * @param tokens tokens of the answer
     * @return outcome without error
     */
    public static Outcome completed(String target, int tokens) {
        return new Outcome(Optional.empty(), "", 0, target, tokens);
    }

    /**
     * Makes the outcome of a failure.
     *
     * @param kind which error
     * @param detail what exactly happened
     * @param retryAfterMillis when to come back
     * @param target who was asked; empty when nobody was
     * @return outcome with the error
     */
    public static Outcome failed(ErrorKind kind, String detail, long comeBackMillis, String target) {
        return new Outcome(Optional.of(kind), detail, kind.comeBack() ? comeBackMillis : 0, target, 0);
    }

    /**
     * Returns whether the request ran.
     *
     * @return what is known of it
     */
    public Ran ran() {
        return error.map(ErrorKind::ran).orElse(Ran.RAN);
    }
}
