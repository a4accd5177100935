package org.whinwharf.runtime.platform;

/**
 * Receives the answers of a watch, on the watch's thread.
 *
 * @param <T> type of what is published
 */
@FunctionalInterface
public interface WatchListener<T> {
    /**
     * Takes an answer.
     *
     * @param answer the answer
     * @param askedAtMillis monotonic clock when it was asked for: what the answer says is at most this old
     */
    void readCompleted(PlatformAnswer<T> answer, long askedAtMillis);
}
