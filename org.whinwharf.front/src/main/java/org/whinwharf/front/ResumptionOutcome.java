package org.whinwharf.front;

import java.util.Locale;

/** What becomes of a stream that has to be resumed. */
enum ResumptionOutcome {
    /** It is sent to a target of the software version that began it. */
    RESUMED,
    /** No target of that version is left. */
    NO_TARGET,
    /** Its route no longer leads to the service that began it. */
    ROUTE_CHANGED,
    /** It is not known which version began it. */
    UNKNOWN;

    /** Returns the value of the metric's tag and of the log field: the constant's name in lower case, with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
