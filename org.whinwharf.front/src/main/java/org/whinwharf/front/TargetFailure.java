package org.whinwharf.front;

/** Why a target gave no whole answer. */
enum TargetFailure {
    /** No connection could be made: the request was not sent. */
    UNREACHABLE(false),
    /** The connection ended after the request was sent. */
    CLOSED(true),
    /** What came is no answer to the request. */
    GARBLED(true),
    /** Nothing came for too long. */
    SILENT(true);

    private final boolean perhapsRun;

    TargetFailure(boolean perhapsRun) {
        this.perhapsRun = perhapsRun;
    }

    /** Tells whether the target may have run the request. */
    boolean perhapsRun() {
        return perhapsRun;
    }
}
