package org.whinwharf.front;

import java.util.OptionalLong;
import org.whinwharf.traffic.target.TargetState;

/** One target: its state, its connections and the time of its last bytes. */
final class TargetEntry {
    private final TargetState state;
    private final TargetConnectionPool pool;
    private long lastByteAtMillis;
    private long lastReachedAtMillis = Long.MIN_VALUE;
    private long lastAnswerAtMillis = Long.MIN_VALUE;
    private long crashedAtMillis = Long.MIN_VALUE;
    private long restartedAtMillis = Long.MIN_VALUE;
    private long brokeOffAtMillis = Long.MIN_VALUE;

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

    /** Records that bytes were received from the target, directly or through a peer. */
    void bytesReceived(long nowMillis) {
        lastByteAtMillis = nowMillis;
        lastAnswerAtMillis = nowMillis;
    }

    /** Records that this process reached the target over a connection of its own. */
    void reached(long nowMillis) {
        lastReachedAtMillis = nowMillis;
    }

    /** Records that the target answered a request of any process. */
    void answered(long nowMillis) {
        lastAnswerAtMillis = nowMillis;
    }

    /** Records that the target is known to have crashed, or to have been replaced. */
    void crashed(long nowMillis) {
        crashedAtMillis = nowMillis;
    }

    /** Records that the target was published with another start time than before. */
    void restarted(long nowMillis) {
        restartedAtMillis = nowMillis;
    }

    /** Records that a response of the target to any process ended before its end. */
    void brokeOff(long atMillis) {
        brokeOffAtMillis = Math.max(brokeOffAtMillis, atMillis);
    }

    /** Tells whether a response of the target ended before its end at or after the given time. */
    boolean brokeOffSince(long sinceMillis) {
        return brokeOffAtMillis >= sinceMillis;
    }

    /** Returns the time since a response of the target last ended before its end; empty if none has. */
    OptionalLong brokeOffAgeMillis(long nowMillis) {
        return brokeOffAtMillis == Long.MIN_VALUE
                ? OptionalLong.empty()
                : OptionalLong.of(nowMillis - brokeOffAtMillis);
    }

    /** Tells whether the target was published with another start time at or after the given time. */
    boolean restartedSince(long sinceMillis) {
        return restartedAtMillis >= sinceMillis;
    }

    /** Tells whether the target is known to have crashed at or after the given time. */
    boolean crashedSince(long sinceMillis) {
        return crashedAtMillis >= sinceMillis;
    }

    /** Tells whether this process has reached the target over a connection of its own since the given time. */
    boolean reachedSince(long sinceMillis) {
        return lastReachedAtMillis >= sinceMillis;
    }

    /** Returns the monotonic time in milliseconds at which this process last reached the target itself. */
    long lastReachedAtMillis() {
        return lastReachedAtMillis;
    }

    /** Returns the time since the target last answered any process; empty if it has not answered yet. */
    OptionalLong answerAgeMillis(long nowMillis) {
        return lastAnswerAtMillis == Long.MIN_VALUE
                ? OptionalLong.empty()
                : OptionalLong.of(nowMillis - lastAnswerAtMillis);
    }

    /** Returns the monotonic time in milliseconds of the last bytes received from the target. */
    long lastByteAtMillis() {
        return lastByteAtMillis;
    }
}
