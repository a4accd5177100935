package org.whinwharf.bench.history;

/**
 * How much later than in theory something may be seen without being a breach.
 *
 * @param withdrawalMillis time from taking a data centre or target out until it receives no new work
 * @param coldMillis time from a target's turning cold without warning until it receives no more than it bears
 * @param clockMillis time between a decision and its being seen at the caller
 */
public record Tolerances(long withdrawalMillis, long coldMillis, long clockMillis) {
    /** Bounds that hold with the default timing of a document. */
    public static final Tolerances DEFAULT = new Tolerances(3000, 3000, 100);
}
