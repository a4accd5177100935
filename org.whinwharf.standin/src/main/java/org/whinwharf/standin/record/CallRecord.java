package org.whinwharf.standin.record;

/**
 * One call that a plain service ran. A call that ran twice stands here twice.
 *
 * @param id value of the request's {@code X-Request-Id} header
 * @param name name of the call
 * @param atMillis when it ran, in Unix milliseconds
 * @param inputDigest digest of the body, see {@link org.whinwharf.standin.StandInText#inputDigest}
 */
public record CallRecord(String id, String name, long atMillis, String inputDigest) {}
