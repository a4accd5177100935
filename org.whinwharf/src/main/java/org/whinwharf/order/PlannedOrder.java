package org.whinwharf.order;

import org.whinwharf.wire.schema.Host;

/**
 * An order that was decided and is to be sent, if it may still be sent then.
 *
 * @param target the engine
 * @param step what it asks for
 * @param fencingNumber revision of the host list by which it was decided
 * @param generation generation of the document by which it was decided
 * @param plannedAtMillis monotonic clock at the decision
 */
public record PlannedOrder(Host target, OrderStep step, long fencingNumber, long generation, long plannedAtMillis) {}
