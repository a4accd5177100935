package org.whinwharf.traffic.catalog;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes most bytes of a request's head
 * @param maxBodyBytes most bytes of a request's body
 * @param headerTimeoutMillis longest time for a head to arrive
 * @param idleTimeoutMillis longest time a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits before any catalog is known: those of common HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 5_000, 15_000);
}
