package org.whinwharf.order;

/**
 * Kind of an order to an engine. Every kind names the state that the engine must reach and not a change, so that orders
 * are idempotent. Logs and metrics write the names of these constants in lower case.
 */
public enum OrderKind {
    /** Changes the role of the engine. */
    ROLE(false),
    /** Unloads a model that the document does not ask for. */
    UNLOAD(false),
    /** Loads a model in a given version, with its adapters. */
    LOAD(true);

    private final boolean readsWeights;

    OrderKind(boolean readsWeights) {
        this.readsWeights = readsWeights;
    }

    /**
     * Tells whether the engine reads from the weight store to execute the order.
     *
     * @return true when the order counts against the rate limit of the weight store
     */
    public boolean readsWeights() {
        return readsWeights;
    }
}
