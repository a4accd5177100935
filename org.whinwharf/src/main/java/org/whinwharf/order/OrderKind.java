package org.whinwharf.order;

/**
 * What an order asks an engine for. Each kind says how the engine is to be, not how to change, so that carrying an
 * order out twice does no more than once.
 */
public enum OrderKind {
    /** Takes another role. */
    ROLE(false),
    /** Drops a model that the document does not want. */
    UNLOAD(false),
    /** Has a model in a version with its adapters. */
    LOAD(true);

    private final boolean readsWeights;

    OrderKind(boolean readsWeights) {
        this.readsWeights = readsWeights;
    }

    /**
     * Tells whether the engine reads the weight store to carry the order out.
     *
     * @return true when the order needs a turn at the weight store
     */
    public boolean readsWeights() {
        return readsWeights;
    }
}
