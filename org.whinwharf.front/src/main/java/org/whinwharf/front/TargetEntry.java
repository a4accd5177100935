package org.whinwharf.front;

import org.whinwharf.traffic.target.TargetState;

/** One target: its state, its connections and the time of its last bytes. */
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

    /** Records that bytes were received from the target. */
    void bytesReceived(long nowMillis) {
        lastByteAtMillis = nowMillis;
    }

    /** Returns the monotonic time in milliseconds of the last bytes received from the target. */
    long lastByteAtMillis() {
        return lastByteAtMillis;
    }
}
