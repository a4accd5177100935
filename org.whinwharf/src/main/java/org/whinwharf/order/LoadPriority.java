package org.whinwharf.order;

/** Priority of a load at the weight store, highest first; loads are sorted by the order of these constants. */
public enum LoadPriority {
    /** The engine has no model loaded and serves no requests. */
    SERVES_NOTHING,
    /** The engine serves some models, but a model that the document asks for is not loaded. */
    MODEL_MISSING,
    /** Every model is loaded, but one has another version or other adapters than the document asks for. */
    OTHER_VERSION
}
