package org.whinwharf.order;

/** What became of an order that was sent. */
public enum OrderOutcome {
    /** The engine accepted it. */
    ACCEPTED,
    /** The engine has seen a higher fencing number. */
    FENCED,
    /** The engine refused it for another reason. */
    REFUSED,
    /** No answer came; the engine may have accepted it or may yet. */
    UNKNOWN,
    /** It was not sent, because it was too late for it. */
    WITHHELD
}
