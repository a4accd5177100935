package org.whinwharf.traffic.catalog;

/**
 * Limits on the size and duration of a caller's requests.
 *
 * @param maxHeaderBytes maximum size of a request's headers, in bytes
 * @param maxBodyBytes maximum size of a request's body, in bytes
 * @param headerTimeoutMillis maximum time for the headers to arrive, in milliseconds
 * @param idleTimeoutMillis maximum time a connection stays open without a request, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until the first catalog is received; typical defaults of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 5_000, 15_000);
}
