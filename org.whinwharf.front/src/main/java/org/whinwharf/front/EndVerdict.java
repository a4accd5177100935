package org.whinwharf.front;

import java.util.Locale;

/** What asking another target has shown of the end of a stream. */
enum EndVerdict {
    /** Events follow: the stream was cut. */
    CUT,
    /** Nothing follows: the stream was whole. */
    WHOLE,
    /** No target has said so in time. */
    UNKNOWN;

    /** Returns the value in log lines and tags of metrics: the constant's name in lower case. */
    String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
