package org.whinwharf.runtime.platform;

/**
 * Answer to one read of the platform.
 *
 * @param <T> type of what is published
 */
public sealed interface PlatformAnswer<T> {
    /**
     * Something newer was published than what was known.
     *
     * @param value what was published
     * @param <T> its type
     */
    record Changed<T>(T value) implements PlatformAnswer<T> {}

    /**
     * Nothing newer was published until the wait had run out.
     *
     * @param <T> type of what is published
     */
    record Unchanged<T>() implements PlatformAnswer<T> {}

    /**
     * The platform did not answer, or not with what it should.
     *
     * @param reason why, in words
     * @param <T> type of what is published
     */
    record Failed<T>(String reason) implements PlatformAnswer<T> {}
}
