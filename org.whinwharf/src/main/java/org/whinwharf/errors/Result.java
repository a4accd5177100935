package org.whinwharf.errors;

/**
 * Outcome of an operation that can fail in one of the ways listed by {@link ErrorKind}.
 *
 * @param <T> type of the value of a success
 */
public sealed interface Result<T> permits Success, Failure {
    /**
     * Makes a success.
     *
     * @param value the value
     * @param <T> type of the value
     * @return a success
     */
    static <T> Result<T> of(T value) {
        return new Success<>(value);
    }

    /**
     * Makes a failure after which coming back is of no use.
     *
     * @param kind which error
     * @param detail what exactly was wrong
     * @param <T> type of the value that a success would carry
     * @return a failure
     */
    static <T> Result<T> failure(ErrorKind kind, String detail) {
        return new Failure<>(kind, detail, 0);
    }
}
