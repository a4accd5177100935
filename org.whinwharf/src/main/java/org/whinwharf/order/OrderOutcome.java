package org.whinwharf.order;

/** Outcome of an order. Metrics and spans write the names of these constants. */
public enum OrderOutcome {
    /** The engine accepted the order. */
    ACCEPTED,
    /** The engine rejected the order because it has seen a higher fencing number. */
    FENCED,
    /** The engine rejected the order for another reason. */
    REFUSED,
    /** No response arrived. The engine may have accepted the order or may still accept it. */
    UNKNOWN,
    /** The order was not sent, because a check just before sending failed; see {@link WithholdReason}. */
    WITHHELD
}
