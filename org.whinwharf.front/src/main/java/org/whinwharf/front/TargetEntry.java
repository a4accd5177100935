package org.whinwharf.front;

import org.whinwharf.traffic.target.TargetState;

/** One target with its connections and what was last seen of it. */
final class TargetEntry {
    private final TargetState state;
    private final TargetConnectionPool pool;
    private long lastByteAtMillis;

    TargetEntry(TargetState state, TargetConnectionPool pool) {
        this.state = state;
        this.pool = pool;
    }

    TargetState state() {
        return state;
    }

    TargetConnectionPool pool() {
        return pool;
    }

    /** Notes that bytes came from the target. */
    void bytesReceived(long nowMillis) {
        lastByteAtMillis = nowMillis;
    }

    /** Returns when bytes last came from the target. */
    long lastByteAtMillis() {
        return lastByteAtMillis;
    }
}
