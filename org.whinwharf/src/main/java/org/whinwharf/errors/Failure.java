package org.whinwharf.errors;

/**
 * Result that carries an error.
 *
 * @param kind which error
 * @param detail what exactly was wrong, for people; holds no secret and no prompt
 * @param retryAfterMillis when to come back, in milliseconds from the answer; 0 when the kind says nothing of it
 * @param <T> type of the value that a success would carry
 */
public record Failure<T>(ErrorKind kind, String detail, long retryAfterMillis) implements Result<T> {
    /**
     * Returns this failure as the result of another type.
     *
     * @param <U> the other type
     * @return failure with the same kind, detail and time
     */
    public <U> Failure<U> as() {
        return new Failure<>(kind, detail, retryAfterMillis);
    }
}
