package org.whinwharf.order;

/** Why an order that was decided is not sent. */
public enum WithholdReason {
    /** The host list has not been heard of for too long. */
    LIST_STALE,
    /** Another host list is in force than the one by which the order was decided. */
    LIST_CHANGED,
    /** Another document is in force than the one by which the order was decided. */
    DOCUMENT_CHANGED,
    /** Too much time has passed since the decision. */
    TOO_LATE
}
