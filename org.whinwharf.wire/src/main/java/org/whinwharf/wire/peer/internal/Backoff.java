package org.whinwharf.wire.peer.internal;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Waits that double up to a limit, each shortened by chance to between half and the whole.
 *
 * <p>When a host comes back, all its peers have lost it at the same instant. Without the random part they would all
 * connect again at the same instant too.
 */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 30;

    private final long initialDelayMillis;
    private final long maxDelayMillis;
    private final UniformRandomProvider random;
    private int attempts;

    /**
     * Makes a backoff with its own random numbers.
     *
     * @param firstMillis longest first wait
     * @param maxMillis longest wait of all
     */
    public Backoff(long firstMillis, long maxMillis) {
        this(firstMillis, maxMillis, RandomSource.XO_RO_SHI_RO_128_PP.create());
    }

    /**
     * Makes a backoff.
     *
     * @param firstMillis longest first wait
     * @param maxMillis longest wait of all
     * @param random random numbers for the jitter
     */
    public Backoff(long firstMillis, long maxMillis, UniformRandomProvider random) {
        this.initialDelayMillis = firstMillis;
        this.maxDelayMillis = maxMillis;
        this.random = random;
    }

    /**
     * Returns the next wait.
     *
     * @return milliseconds, at least 1
     */
    public long nextDelayMillis() {
        long ceilingMillis = Math.min(maxDelayMillis, initialDelayMillis << Math.min(attempts, MAX_DOUBLINGS));
        attempts++;
        double share = 0.5 + random.nextDouble() / 2;
        return Math.max(1, Math.round(ceilingMillis * share));
    }

    /** Starts again with the first wait. */
    public void reset() {
        attempts = 0;
    }
}
