package org.whinwharf.errors;

/**
 * Result that carries an error.
 *
 * @param kind kind of the error
 * @param detail human-readable description of the cause; contains no secret and no prompt
 * @param retryAfterMillis Retry-After delay in milliseconds, counted from the answer; 0 when the kind has none
 * @param <T> type of the value that a success would carry
 */
public record Failure<T>(ErrorKind kind, String detail, long retryAfterMillis) implements Result<T> {
    /**
     * Returns this failure as the result of another type.
     *
     * @param <U> the other type
     * @return failure with the same kind, detail and delay
     */
    public <U> Failure<U> as() {
        return new Failure<>(kind, detail, retryAfterMillis);
    }
}
