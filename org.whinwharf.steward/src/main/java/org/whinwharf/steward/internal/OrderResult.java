package org.whinwharf.steward.internal;

import org.whinwharf.order.OrderOutcome;

/**
 * Answer of an engine to an order.
 *
 * @param outcome what became of the order
 * @param status HTTP status; 0 when no answer came
 * @param reason why it was not accepted, in words
 */
record OrderResult(OrderOutcome outcome, int status, String reason) {}
