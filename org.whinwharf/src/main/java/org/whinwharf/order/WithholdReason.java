package org.whinwharf.order;

/** Reason why a planned order is not sent. Logs and metrics write the names of these constants in lower case. */
public enum WithholdReason {
    /** The host list is no longer in force, or was not confirmed within {@link TakeoverTiming#MAX_LIST_AGE_MILLIS}. */
    LIST_STALE,
    /** The order was planned under another revision of the host list than the current one. */
    LIST_CHANGED,
    /** The order was planned under another generation of the document than the current one. */
    DOCUMENT_CHANGED,
    /** More than {@link StewardCore#MAX_SEND_DELAY_MILLIS} have passed since the decision. */
    TOO_LATE
}
