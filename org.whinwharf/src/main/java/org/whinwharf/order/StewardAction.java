package org.whinwharf.order;

import org.whinwharf.wire.schema.Host;

/** What a steward has its surroundings do. */
public sealed interface StewardAction {
    /**
     * Reads the state of an engine.
     *
     * @param target the engine
     */
    record ReadState(Host target) implements StewardAction {}

    /**
     * Sends an order, after {@link StewardCore#withholdReason} was asked again.
     *
     * @param order the order
     */
    record SendOrder(PlannedOrder order) implements StewardAction {}
}
