package org.whinwharf.bench.dedupe;

/** Memory of the requests that one home has seen. */
interface DedupeMemory {
    /** Notes a request and returns true, or returns false when it counts as seen or has no room. */
    boolean take(long ticket, long number);

    /** Forgets a ticket that has run out. */
    void expire(long ticket);

    /** Returns the bytes held, without what a language adds. */
    long bytes();
}
