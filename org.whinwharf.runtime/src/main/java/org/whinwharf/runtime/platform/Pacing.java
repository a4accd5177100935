package org.whinwharf.runtime.platform;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Determines the delays between the reads of one watch, so that the reads of the fleet are spread over time.
 *
 * <p>The platform handles about two thousand reads a second from all processes together. After a change, an outage or a
 * restart of the whole fleet, all processes would read at the same instant; the platform would respond with status 429
 * and processes would not become ready. Each delay therefore has a random part that grows with the fleet.
 *
 * <p>Not thread-safe.
 */
public final class Pacing {
    /** Intended rate of reads per second of the whole fleet when all its processes are due at once. */
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
     * Creates the pacing of one watch.
     *
     * @param waitMillis maximum long-poll time of a read, in milliseconds
     * @param startSpreadMillis time in milliseconds over which the first reads of a fleet of unknown size are spread
     * @param random source of random numbers
     */
    public Pacing(long waitMillis, long startSpreadMillis, UniformRandomProvider random) {
        this.waitMillis = waitMillis;
        this.startSpreadMillis = startSpreadMillis;
        this.random = random;
    }

    /**
     * Returns the delay before the first read.
     *
     * @param fleetSize number of processes in the fleet; 0 while unknown
     * @return delay in milliseconds
     */
    public long initialDelayMillis(int fleetSize) {
        return randomUpTo(fleetSize == 0 ? startSpreadMillis : spreadMillis(fleetSize));
    }

    /**
     * Returns the long-poll time of the next read: how long the platform may hold its answer until something changes.
     *
     * @return time in milliseconds, random between half of the maximum and the maximum
     */
    public long longPollMillis() {
        return waitMillis / 2 + randomUpTo(waitMillis / 2);
    }

    /**
     * Returns the delay before the next read.
     *
     * @param answer answer to the last read
     * @param elapsedMillis duration of that read in milliseconds
     * @param fleetSize number of processes in the fleet; 0 while unknown
     * @return delay in milliseconds
     */
    public long nextDelayMillis(PlatformAnswer<?> answer, long elapsedMillis, int fleetSize) {
        if (answer instanceof PlatformAnswer.Failed<?>) {
            return retryDelayMillis(fleetSize);
        }
        failures = 0;
        if (answer instanceof PlatformAnswer.Changed<?>) {
            return MIN_SPREAD_MILLIS + randomUpTo(spreadMillis(fleetSize));
        }
        // A platform that does not hold its answers must not be polled in a busy loop.
        return Math.max(0, waitMillis / 2 - elapsedMillis);
    }

    private long retryDelayMillis(int fleetSize) {
        long doubled = INITIAL_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        long backoffMillis = Math.max(Math.min(doubled, MAX_BACKOFF_MILLIS), spreadMillis(fleetSize));
        return MIN_RETRY_DELAY_MILLIS + randomUpTo(backoffMillis);
    }

    private static long spreadMillis(int fleetSize) {
        return Math.max(MIN_SPREAD_MILLIS, 1_000L * fleetSize / FLEET_READS_PER_SECOND);
    }

    private long randomUpTo(long millis) {
        return millis <= 0 ? 0 : random.nextLong(millis + 1);
    }
}
