package org.whinwharf.errors;

/**
 * Result that carries a value.
 *
 * @param value the value
 * @param <T> type of the value
 */
public record Success<T>(T value) implements Result<T> {}
