package org.whinwharf.front;

import java.util.Locale;

/** Whether a target still ran after it had ended a connection, and what shows it. */
enum TargetLiveness {
    /** It accepted a new connection. */
    ACCEPTS(true),
    /** It accepts no connections, but keeps others that stood before, as one does that is being stopped. */
    KEEPS_CONNECTIONS(true),
    /** Another process has its place. */
    REPLACED(false),
    /** It cannot be reached. */
    UNREACHABLE(false),
    /** Nothing shows it, since neither this process nor a peer has a path to the target. */
    UNKNOWN(false);

    private final boolean shown;

    TargetLiveness(boolean shown) {
        this.shown = shown;
    }

    /** Tells whether the target is known to have lived on. */
    boolean shown() {
        return shown;
    }

    /** Returns the value in log lines and tags of metrics: the constant's name in lower case, with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
