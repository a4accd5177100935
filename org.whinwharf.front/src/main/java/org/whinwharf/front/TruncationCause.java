package org.whinwharf.front;

import java.util.Locale;

/** Reason why a stream ended without its last event. */
enum TruncationCause {
    /** The caller's connection was closed. */
    CALLER_LEFT,
    /** The target failed, and no other target could resume the stream. */
    TARGET_LOST,
    /** The target ended its response in the middle of an event. */
    PART_OF_EVENT,
    /** The target declared no end, streams without one were cut lately, and whether events follow is not known. */
    UNVERIFIED_END,
    /** The deadline of the request was reached. */
    TIMED_OUT,
    /** A planned stop of this process ended. */
    STOPPED,
    /** No target was available in time to resume the stream. */
    REFUSED;

    /** Returns the value of the metric's tag: the constant's name in lower case, with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
