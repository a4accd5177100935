package org.whinwharf.order;

import org.whinwharf.wire.schema.Host;

/**
 * An order that the steward has decided on but not sent. It is checked again just before sending; see
 * {@link StewardCore#withholdReason}.
 *
 * @param target host entry of the engine
 * @param step step that the order asks for
 * @param fencingNumber fencing number: the revision of the host list that the decision is based on
 * @param generation generation of the document that the decision is based on
 * @param plannedAtMillis time of the decision, on the monotonic clock
 */
public record PlannedOrder(Host target, OrderStep step, long fencingNumber, long generation, long plannedAtMillis) {}
