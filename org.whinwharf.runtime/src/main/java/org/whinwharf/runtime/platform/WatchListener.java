package org.whinwharf.runtime.platform;

/**
 * Receives the outcomes of the reads of a watch, on the thread of the watch.
 *
 * @param <T> type of the published value
 */
@FunctionalInterface
public interface WatchListener<T> {
    /**
     * Handles the outcome of a read.
     *
     * @param answer the answer
     * @param requestedAtMillis monotonic time in milliseconds at which the read started; the content of the answer is
     *     not older
     */
    void readCompleted(PlatformAnswer<T> answer, long requestedAtMillis);
}
