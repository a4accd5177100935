package org.whinwharf.entry.internal;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests of callers whose answers are not yet written whole. Safe for use by several threads. */
final class Exchanges {
    private final AtomicInteger open = new AtomicInteger();

    void began() {
        open.incrementAndGet();
    }

    void ended(int count) {
        open.addAndGet(-count);
    }

    int count() {
        return open.get();
    }
}
