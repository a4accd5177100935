package org.whinwharf.runtime.platform;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Spreads the reads of a whole fleet over time.
 *
 * <p>The platform bears about two thousand reads a second from all processes together. After a change, an outage or a
 * restart of everything all processes would ask at the same instant; one would notice answers 429 and processes that
 * stay not ready. So each wait has a random part that grows with the fleet.
 *
 * <p>Not safe for use by several threads.
 */
public final class Pacing {
    /** Reads a second that the whole fleet aims at when all its processes are due at once. */
    public static final int FLEET_READS_PER_SECOND = 400;

    private static final long MIN_SPREAD_MILLIS = 50;
    private static final long MIN_RETRY_DELAY_MILLIS = 250;
    private static final long INITIAL_BACKOFF_MILLIS = 500;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 10;

    private final long waitMillis;
    private final long startSpreadMillis;
    private final UniformRandomProvider random;
    private int failures;

    /**
     * Makes the pacing of one watch.
     *
     * @param waitMillis longest wait that the platform is asked for
     * @param startSpreadMillis time over which the first reads of a fleet of unknown size are spread
     * @param random random numbers
     */
    public Pacing(long waitMillis, long startSpreadMillis, UniformRandomProvider random) {
        this.waitMillis = waitMillis;
        this.startSpreadMillis = startSpreadMillis;
        this.random = random;
    }

    /**
     * Returns the wait before the first read.
     *
     * @param processes processes of the fleet; 0 when not known yet
     * @return milliseconds
     */
    public long initialDelayMillis(int processes) {
        return randomUpTo(processes == 0 ? startSpreadMillis : spreadMillis(processes));
    }

    /**
     * Returns how long the platform may hold the next answer back.
     *
     * @return milliseconds, between half of the longest wait and the whole
     */
    public long longPollMillis() {
        return waitMillis / 2 + randomUpTo(waitMillis / 2);
    }

    /**
     * Returns the wait before the next read.
     *
     * @param answer answer to the last one
     * @param tookMillis how long the answer took
     * @param processes processes of the fleet; 0 when not known yet
     * @return milliseconds
     */
    public long nextDelayMillis(PlatformAnswer<?> answer, long tookMillis, int processes) {
        if (answer instanceof PlatformAnswer.Failed<?>) {
            return retryDelayMillis(processes);
        }
        failures = 0;
        if (answer instanceof PlatformAnswer.Changed<?>) {
            return MIN_SPREAD_MILLIS + randomUpTo(spreadMillis(processes));
        }
        // A platform that does not hold the answer back must not be asked in a tight loop.
        return Math.max(0, waitMillis / 2 - tookMillis);
    }

    private long retryDelayMillis(int processes) {
        long doubled = INITIAL_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        long ceilingMillis = Math.max(Math.min(doubled, MAX_BACKOFF_MILLIS), spreadMillis(processes));
        return MIN_RETRY_DELAY_MILLIS + randomUpTo(ceilingMillis);
    }

    private static long spreadMillis(int processes) {
        return Math.max(MIN_SPREAD_MILLIS, 1_000L * processes / FLEET_READS_PER_SECOND);
    }

    private long randomUpTo(long millis) {
        return millis <= 0 ? 0 : random.nextLong(millis + 1);
    }
}
