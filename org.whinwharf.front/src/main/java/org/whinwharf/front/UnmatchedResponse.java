package org.whinwharf.front;

import java.util.Locale;

/** Why a response that a target sent is not known to answer the request of its connection. */
enum UnmatchedResponse {
    /** It names another attempt. */
    OTHER_ATTEMPT,
    /** It names no attempt. */
    UNNAMED,
    /** A part of another response stands before it. */
    CUT_OFF,
    /** No request was sent over the connection since the last response. */
    UNREQUESTED;

    /** Returns the value of the metric's tag: the constant's name in lower case, with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
