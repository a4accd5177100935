package org.whinwharf.time;

import java.util.concurrent.TimeUnit;

/** Monotonic clock of one process. Readings are not comparable between processes. */
@FunctionalInterface
public interface Ticker {
    /**
     * Reads the clock.
     *
     * @return milliseconds since an arbitrary instant; never decreases
     */
    long nowMillis();

    /**
     * Returns the clock of this process.
     *
     * @return ticker over {@link System#nanoTime()}
     */
    static Ticker system() {
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
