package org.whinwharf.wire.peer.internal;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Exponential backoff with jitter: delays double up to a limit, and each is randomly reduced to between 50% and 100%.
 *
 * <p>When a host fails, all its peers lose their connections at the same time. Without jitter they would all reconnect
 * at the same time too.
 */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 30;

    private final long initialDelayMillis;
    private final long maxDelayMillis;
    private final UniformRandomProvider random;
    private int attempts;

    /**
     * Creates a backoff with its own random source.
     *
     * @param initialDelayMillis upper bound of the first delay
     * @param maxDelayMillis upper bound of every delay
     */
    public Backoff(long initialDelayMillis, long maxDelayMillis) {
        this(initialDelayMillis, maxDelayMillis, RandomSource.XO_RO_SHI_RO_128_PP.create());
    }

    /**
     * Creates a backoff.
     *
     * @param initialDelayMillis upper bound of the first delay
     * @param maxDelayMillis upper bound of every delay
     * @param random random source for the jitter
     */
    public Backoff(long initialDelayMillis, long maxDelayMillis, UniformRandomProvider random) {
        this.initialDelayMillis = initialDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.random = random;
    }

    /**
     * Returns the next delay.
     *
     * @return milliseconds, at least 1
     */
    public long nextDelayMillis() {
        long ceilingMillis = Math.min(maxDelayMillis, initialDelayMillis << Math.min(attempts, MAX_DOUBLINGS));
        attempts++;
        double jitterFactor = 0.5 + random.nextDouble() / 2;
        return Math.max(1, Math.round(ceilingMillis * jitterFactor));
    }

    /** Restarts with the first delay. */
    public void reset() {
        attempts = 0;
    }
}
