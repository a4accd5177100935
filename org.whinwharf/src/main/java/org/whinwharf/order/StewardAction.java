package org.whinwharf.order;

import org.whinwharf.wire.schema.Host;

/** An action that {@link StewardCore} asks its caller to execute. */
public sealed interface StewardAction {
    /**
     * Reads the state of an engine.
     *
     * @param target host entry of the engine
     */
    record ReadState(Host target) implements StewardAction {}

    /**
     * Sends an order, unless {@link StewardCore#withholdReason} returns a reason just before sending.
     *
     * @param order order to send
     */
    record SendOrder(PlannedOrder order) implements StewardAction {}
}
