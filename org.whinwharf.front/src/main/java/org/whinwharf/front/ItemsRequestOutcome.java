package org.whinwharf.front;

import java.util.Locale;

/** How a question for published items to a peer ended. */
enum ItemsRequestOutcome {
    /** The whole answer came. */
    ANSWERED,
    /** No connection could be made. */
    UNREACHABLE,
    /** Nothing, or not the whole answer, came in time. */
    TIMED_OUT,
    /** The connection ended before the whole answer. */
    CLOSED;

    /** Returns the value of the metric's tag and of the log's reason. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
