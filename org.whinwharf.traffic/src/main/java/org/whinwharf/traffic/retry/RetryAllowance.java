package org.whinwharf.traffic.retry;

import java.util.concurrent.TimeUnit;

/**
 * Divides the fleet's fixed retry allowance among its processes, without communication beyond membership.
 *
 * <p>A process that does not hear all others would take too large a part: one that has just started, and the parts of a
 * partitioned fleet. It therefore divides by the largest number of processes that it has known for a while, and has no
 * part before it has had the time to hear of all of them.
 */
public final class RetryAllowance {
    /** Time for which the size of a fleet is remembered after some of its processes have gone. */
    private static final long SIZE_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);
    /** Time from the first peer that was heard until all are known: a few rounds of gossip. */
    private static final long DISCOVERY_MILLIS = 1_000;
    /** Processes counted besides the known peers: this one, and one that may have started unnoticed. */
    private static final int UNKNOWN_PROCESSES = 2;

    private final boolean expectsPeers;
    private int largestPeerCount;
    private long largestSeenAtMillis;
    private long firstHeardAtMillis = Long.MAX_VALUE;

    /**
     * Creates the allowance of a process that has just started.
     *
     * @param expectsPeers false if the process is the only one of its fleet
     */
    public RetryAllowance(boolean expectsPeers) {
        this.expectsPeers = expectsPeers;
    }

    /**
     * Records how many other processes are known.
     *
     * @param knownPeers number of processes, suspected ones included
     * @param nowMillis monotonic time in milliseconds
     */
    public void updatePeers(int knownPeers, long nowMillis) {
        if (knownPeers > 0) {
            firstHeardAtMillis = Math.min(firstHeardAtMillis, nowMillis);
        }
        if (knownPeers >= largestPeerCount || nowMillis - largestSeenAtMillis > SIZE_RETENTION_MILLIS) {
            largestPeerCount = knownPeers;
            largestSeenAtMillis = nowMillis;
        }
    }

    /**
     * Returns the part of this process.
     *
     * @param total allowance of the fleet, in retries per window
     * @param nowMillis monotonic time in milliseconds
     * @return retries per window
     */
    public double share(double total, long nowMillis) {
        boolean discovering = expectsPeers
                && (firstHeardAtMillis == Long.MAX_VALUE || nowMillis - firstHeardAtMillis < DISCOVERY_MILLIS);
        return discovering ? 0 : total / (largestPeerCount + UNKNOWN_PROCESSES);
    }
}
