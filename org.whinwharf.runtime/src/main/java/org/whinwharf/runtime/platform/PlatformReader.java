package org.whinwharf.runtime.platform;

/**
 * One kind of read of the platform.
 *
 * @param <T> type of what is published
 */
@FunctionalInterface
public interface PlatformReader<T> {
    /**
     * Asks for something newer and waits for it.
     *
     * @param above generation or revision that is known; 0 for none
     * @param waitMillis how long the platform may hold the answer back
     * @return the answer
     */
    PlatformAnswer<T> read(long above, long waitMillis);
}
