package org.whinwharf.runtime.platform;

/**
 * Outcome of one read of the platform.
 *
 * @param <T> type of the published value
 */
public sealed interface PlatformAnswer<T> {
    /**
     * The platform has published a newer value than the known one.
     *
     * @param value the published value
     * @param <T> type of the value
     */
    record Changed<T>(T value) implements PlatformAnswer<T> {}

    /**
     * The platform published nothing newer within the long-poll time.
     *
     * @param <T> type of the published value
     */
    record Unchanged<T>() implements PlatformAnswer<T> {}

    /**
     * The platform did not answer, or its answer was invalid.
     *
     * @param reason cause of the failure, for the log
     * @param <T> type of the published value
     */
    record Failed<T>(String reason) implements PlatformAnswer<T> {}
}
