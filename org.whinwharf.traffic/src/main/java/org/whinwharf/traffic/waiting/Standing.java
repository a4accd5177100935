package org.whinwharf.traffic.waiting;

/** For how long the line of one rank has not emptied; short gaps between bunches of arrivals do not count. */
final class Standing {
    /** Time for which a line has to be empty to be worked off: between two bunches of arrivals it empties for less. */
    private static final long RELIEF_MILLIS = 250;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean empty = true;
    private long sinceMillis;
    private long emptiedAtMillis = NEVER;

    /** Notes that a request waits. */
    void waits(long nowMillis) {
        if (millis(nowMillis) == 0) {
            sinceMillis = nowMillis;
        }
        empty = false;
    }

    /** Notes that no request waits. */
    void emptied(long nowMillis) {
        if (!empty) {
            empty = true;
            emptiedAtMillis = nowMillis;
        }
    }

    /** Returns for how long it has not emptied; 0 when it was worked off. */
    long millis(long nowMillis) {
        return empty && nowMillis - emptiedAtMillis > RELIEF_MILLIS ? 0 : nowMillis - sinceMillis;
    }
}
