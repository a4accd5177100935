package org.whinwharf.front;

/** What a target's response says of the run of its request. */
enum ResponseKind {
    /** The request was not executed. */
    REJECTION,
    SUCCESS,
    /** The request may have been executed and failed. */
    FAILURE;

    private static final int SUCCESS_CLASS = 2;

    /** Returns the kind of a response. */
    static ResponseKind of(ResponseHead head) {
        if (head.notExecuted() || head.wrongTarget()) {
            return REJECTION;
        }
        return head.status() / 100 == SUCCESS_CLASS ? SUCCESS : FAILURE;
    }
}
