package org.whinwharf.front;

import java.util.Locale;

/** What becomes of the end of a stream that only the end of its connection has told. */
enum EndDecision {
    /** It is passed on to the caller. */
    PASSED_ON,
    /** It is held, and another target is asked whether any event follows. */
    HELD,
    /** The caller's connection is closed without an end, since nobody could be asked and the stream may be cut. */
    LEFT_OPEN;

    /** Returns the value in log lines and tags of metrics: the constant's name in lower case, with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
