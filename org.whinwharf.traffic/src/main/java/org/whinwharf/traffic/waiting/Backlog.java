package org.whinwharf.traffic.waiting;

/** For how long the line of one rank has not emptied; short gaps between bunches of arrivals do not count. */
final class Backlog {
    /** Time for which a line has to be empty to be worked off: between two bunches of arrivals it empties for less. */
    private static final long MIN_IDLE_MILLIS = 250;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean empty = true;
    private long sinceMillis;
    private long emptiedAtMillis = NEVER;

    /** Notes that a request waits. */
    void requestQueued(long nowMillis) {
        if (ageMillis(nowMillis) == 0) {
            sinceMillis = nowMillis;
        }
        empty = false;
    }

    /** Notes that no request waits. */
    void queueEmptied(long nowMillis) {
        if (!empty) {
            empty = true;
            emptiedAtMillis = nowMillis;
        }
    }

    /** Returns for how long it has not emptied; 0 when it was worked off. */
    long ageMillis(long nowMillis) {
        return empty && nowMillis - emptiedAtMillis > MIN_IDLE_MILLIS ? 0 : nowMillis - sinceMillis;
    }
}
