package org.whinwharf.order;

/** How much an engine needs a load, the greatest need first. */
public enum LoadPriority {
    /** The engine has no model at all. */
    SERVES_NOTHING,
    /** A model is missing. */
    MODEL_MISSING,
    /** A model has another version or other adapters. */
    OTHER_VERSION
}
