package org.whinwharf.steward.internal;

import org.whinwharf.order.OrderOutcome;

/**
 * Result of an order that was sent to an engine.
 *
 * @param outcome outcome of the order
 * @param status HTTP status of the response; 0 when no response arrived
 * @param reason description of the failure; empty when the order was accepted
 */
record OrderResult(OrderOutcome outcome, int status, String reason) {}
