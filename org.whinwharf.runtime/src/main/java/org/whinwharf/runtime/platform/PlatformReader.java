package org.whinwharf.runtime.platform;

/**
 * Reads one published value of the platform by long polling.
 *
 * @param <T> type of the published value
 */
@FunctionalInterface
public interface PlatformReader<T> {
    /**
     * Requests a newer value and blocks until the platform answers.
     *
     * @param above known generation or revision; 0 for none
     * @param waitMillis long-poll time in milliseconds for which the platform may hold its answer
     * @return the answer
     */
    PlatformAnswer<T> read(long above, long waitMillis);
}
