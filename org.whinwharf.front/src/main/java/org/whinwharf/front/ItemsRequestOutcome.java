package org.whinwharf.front;

import java.util.Locale;

/** Outcome of a request to a peer for published items. */
enum ItemsRequestOutcome {
    /** The complete answer arrived. */
    ANSWERED,
    /** The connection could not be established. */
    UNREACHABLE,
    /** The answer did not begin, or did not complete, in time. */
    TIMED_OUT,
    /** The connection closed before the answer was complete. */
    CLOSED;

    /** Returns the value for the metric's tag and the log's reason: the constant's name in lower case with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
