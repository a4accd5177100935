package org.whinwharf.errors;

/**
 * Outcome of an operation that can fail in one of the ways listed by {@link ErrorKind}.
 *
 * @param <T> type of the value of a success
 */
public sealed interface Result<T> permits Success, Failure {
    /**
     * Returns a success.
     *
     * @param value the value
     * @param <T> type of the value
     * @return a success
     */
    static <T> Result<T> of(T value) {
        return new Success<>(value);
    }

    /**
     * Returns a failure without a Retry-After delay, because a retry would not help.
     *
     * @param kind kind of the error
     * @param detail description of the cause
     * @param <T> type of the value that a success would carry
     * @return a failure
     */
    static <T> Result<T> failure(ErrorKind kind, String detail) {
        return new Failure<>(kind, detail, 0);
    }
}
