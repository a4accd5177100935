package org.whinwharf.traffic.waiting;

/** Measures how long the queue of one rank has not emptied; short gaps between bursts of arrivals do not count. */
final class Backlog {
    /** Time a queue must stay empty to end its backlog; gaps between bursts of arrivals are shorter. */
    private static final long MIN_IDLE_MILLIS = 250;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean empty = true;
    private long sinceMillis;
    private long emptiedAtMillis = NEVER;

    /** Records that a request was queued. */
    void requestQueued(long nowMillis) {
        if (ageMillis(nowMillis) == 0) {
            sinceMillis = nowMillis;
        }
        empty = false;
    }

    /** Records that the queue is empty. */
    void queueEmptied(long nowMillis) {
        if (!empty) {
            empty = true;
            emptiedAtMillis = nowMillis;
        }
    }

    /** Returns the age of the backlog in milliseconds; 0 if there is none. */
    long ageMillis(long nowMillis) {
        return empty && nowMillis - emptiedAtMillis > MIN_IDLE_MILLIS ? 0 : nowMillis - sinceMillis;
    }
}
