package org.whinwharf.front;

import java.util.Locale;
import org.whinwharf.wire.fleet.RunEvent;

/** Reason why a target gave no complete response; the constants' names are written to the log. */
enum TargetFailure {
    /** No connection could be established, so the request was not sent. */
    UNREACHABLE(true, RunEvent.RUN_UNREACHABLE),
    /** The connection was closed in order, after the request was sent and before the end of the response. */
    CLOSED(false, RunEvent.RUN_BROKEN),
    /** The connection was reset or failed otherwise, after the request was sent. */
    RESET(false, RunEvent.RUN_BROKEN),
    /** The received bytes are not a valid response to the request. */
    GARBLED(false, RunEvent.RUN_BROKEN),
    /** Nothing was received for too long. */
    SILENT(true, RunEvent.RUN_SILENT);

    private final boolean conclusive;
    private final RunEvent event;

    TargetFailure(boolean certain, RunEvent event) {
        this.conclusive = certain;
        this.event = event;
    }

    /** Tells whether a single such failure shows that the target is unusable. */
    boolean conclusive() {
        return conclusive;
    }

    /** Returns the value in log lines and tags of metrics: the constant's name in lower case. */
    String tag() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the event that is reported to the coordinator. */
    RunEvent event() {
        return event;
    }
}
