package org.whinwharf.front;

import org.whinwharf.wire.fleet.RunEvent;

/** Why a target gave no whole answer. */
enum TargetFailure {
    /** No connection could be made: the request was not sent. */
    UNREACHABLE(true, RunEvent.RUN_UNREACHABLE),
    /** The connection ended after the request was sent. */
    CLOSED(false, RunEvent.RUN_BROKEN),
    /** What came is no answer to the request. */
    GARBLED(false, RunEvent.RUN_BROKEN),
    /** Nothing came for too long. */
    SILENT(true, RunEvent.RUN_SILENT);

    private final boolean conclusive;
    private final RunEvent event;

    TargetFailure(boolean certain, RunEvent event) {
        this.conclusive = certain;
        this.event = event;
    }

    /** Tells whether one such failure shows that the target is out of use. */
    boolean conclusive() {
        return conclusive;
    }

    /** Returns what a coordinator is told. */
    RunEvent event() {
        return event;
    }
}
