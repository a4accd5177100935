package org.whinwharf.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.Supplier;

/** Reads the heap that is in use after collection, and the processor time of this thread. */
final class Meter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int COLLECTIONS = 4;

    private Meter() {}

    static long cpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /**
     * Measures what a value keeps alive.
     *
     * @param make makes the value
     * @param <T> type of the value
     * @return bytes of heap that go when the value goes
     */
    static <T> long retainedBytes(Supplier<T> make) {
        make.get();
        long before = liveBytes();
        T value = make.get();
        long after = liveBytes();
        if (value == null) {
            throw new IllegalStateException("nothing made");
        }
        return Math.max(0, after - before);
    }

    static long liveBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
