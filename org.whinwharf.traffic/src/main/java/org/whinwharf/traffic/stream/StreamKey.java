package org.whinwharf.traffic.stream;

import org.whinwharf.traffic.crash.Fingerprint;

/**
 * Digest that identifies a stream in all processes: of its caller's organisation and of the attempt that brought its
 * first event. Callers choose the ids of attempts, so the organisation keeps them from naming streams of others.
 *
 * @param bits first 64 bits of a cryptographic digest
 */
public record StreamKey(long bits) {
    /**
     * Returns the key of a stream.
     *
     * @param organisation name of the caller's organisation; empty on public routes
     * @param attemptId id of the attempt that brought the first event
     * @return key
     */
    public static StreamKey of(String organisation, String attemptId) {
        return new StreamKey(new Fingerprint.Builder()
                .add(organisation)
                .add(attemptId)
                .build()
                .bits());
    }
}
