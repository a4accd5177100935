package org.whinwharf.front;

import java.util.Locale;

/** Why a stream ended without its last event. */
enum TruncationCause {
    /** The caller's connection closed. */
    CALLER_LEFT,
    /** The target failed, and no other could go on with the stream. */
    TARGET_LOST,
    /** The target ended its answer in the middle of an event. */
    PART_OF_EVENT,
    /** The time limit was reached. */
    TIMED_OUT,
    /** No target was left to go on with the stream in time. */
    REFUSED;

    /** Returns the value of the metric's tag. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
