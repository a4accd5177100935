package org.whinwharf.front;

import java.util.Locale;

/** Whether a target still ran after it had ended a connection, and what shows it. */
enum TargetLiveness {
    /** It keeps other connections that stood before, whether it accepts new ones or not. */
    KEEPS_CONNECTIONS(true),
    /** It accepted a new connection sooner than another process can have taken its place. */
    ACCEPTS(true),
    /** It answered or rejected a health check that was meant for it. */
    ANSWERS(true),
    /** Another process has its place. */
    REPLACED(false),
    /** It cannot be reached. */
    UNREACHABLE(false),
    /** Nothing shows it: there is no path to the target, or what accepts connections may be another process. */
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
