package org.whinwharf.traffic.target;

/**
 * Passive health of one target: what its answers to this process's own requests show.
 *
 * <p>A target that answers health checks may still fail requests, so only requests count against it. After a series of
 * failures it is ejected for a while that doubles up to a bound, and it returns through one probe, since a target that
 * was restarted in between is cold and would fall over under its full share. A target that hangs may pass its probe:
 * until one of its requests begins to be answered, it gets one at a time, so that each return costs a request or two
 * and not a full set of slots.
 */
public final class TargetHealth {
    /** Failures in a row that eject; two, since one lost connection happens to sound targets. */
    private static final int CONSECUTIVE_FAILURE_THRESHOLD = 2;
    /** Share of failures among the last answers that ejects even when successes lie between. */
    private static final double FAILURE_SHARE_THRESHOLD = 0.5;
    /** Weight of the newest answer in the share: the memory is about eight answers. */
    private static final double SMOOTHING_FACTOR = 0.12;
    /** First time out of use; about the time a crashed target needs to come back. */
    private static final long INITIAL_EJECTION_MILLIS = 500;
    /** Time between requests to a target on trial: most first events come within it. */
    private static final long TRIAL_INTERVAL_MILLIS = 500;
    /** Longest time out of use: a recovered target is back within this. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    private int consecutiveFailures;
    private double failureShare;
    private long ejectionMillis = INITIAL_EJECTION_MILLIS;
    private boolean ejected;
    private long probeAtMillis;
    private boolean probing;
    private boolean onTrial;
    private long lastDispatchMillis;

    /** Notes a request that the target answered properly, whatever the answer says. */
    public void recordSuccess() {
        onTrial = false;
        consecutiveFailures = 0;
        failureShare *= 1 - SMOOTHING_FACTOR;
        if (failureShare < FAILURE_SHARE_THRESHOLD / 4) {
            ejectionMillis = INITIAL_EJECTION_MILLIS;
        }
    }

    /**
     * Notes a request that the target failed.
     *
     * @param nowMillis steady time in milliseconds
     * @param unreachable true when no connection could be made, which ejects at once
     * @return true when this ejected the target
     */
    public boolean recordFailure(long nowMillis, boolean unreachable) {
        consecutiveFailures++;
        failureShare += (1 - failureShare) * SMOOTHING_FACTOR;
        return eject(nowMillis, unreachable || consecutiveFailures >= CONSECUTIVE_FAILURE_THRESHOLD);
    }

    /**
     * Notes a request that the target answered with an error of its own. Some requests always end so, hence only their
     * share counts, never two in a row.
     *
     * @param nowMillis steady time in milliseconds
     * @return true when this ejected the target
     */
    public boolean recordErrorAnswer(long nowMillis) {
        failureShare += (1 - failureShare) * SMOOTHING_FACTOR;
        return eject(nowMillis, false);
    }

    /** Notes that a request begins to be answered with success. */
    public void recordAnswerStart() {
        onTrial = false;
    }

    /**
     * Tells whether the target may get another request.
     *
     * @param nowMillis steady time in milliseconds
     * @return false while it is ejected, or on trial with a request just sent
     */
    public boolean admits(long nowMillis) {
        return !ejected && (!onTrial || nowMillis >= lastDispatchMillis + TRIAL_INTERVAL_MILLIS);
    }

    /**
     * Notes a request that is sent.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void recordDispatch(long nowMillis) {
        lastDispatchMillis = nowMillis;
    }

    private boolean eject(long nowMillis, boolean certain) {
        if (ejected || !certain && failureShare < FAILURE_SHARE_THRESHOLD) {
            return false;
        }
        ejected = true;
        probeAtMillis = nowMillis + ejectionMillis;
        ejectionMillis = Math.min(ejectionMillis * 2, MAX_EJECTION_MILLIS);
        return true;
    }

    /**
     * Tells whether the target is out of use.
     *
     * @return true while it is ejected
     */
    public boolean ejected() {
        return ejected;
    }

    /**
     * Tells whether a probe is due, and if so counts it as begun.
     *
     * @param nowMillis steady time in milliseconds
     * @return true when the caller must probe the target now
     */
    public boolean beginProbe(long nowMillis) {
        if (!ejected || probing || nowMillis < probeAtMillis) {
            return false;
        }
        probing = true;
        return true;
    }

    /**
     * Notes the end of a probe.
     *
     * @param nowMillis steady time in milliseconds
     * @param healthy true when the target said that it is healthy
     */
    public void recordProbeResult(long nowMillis, boolean healthy) {
        probing = false;
        if (healthy) {
            ejected = false;
            onTrial = true;
            lastDispatchMillis = nowMillis - TRIAL_INTERVAL_MILLIS;
            consecutiveFailures = 0;
            failureShare = FAILURE_SHARE_THRESHOLD / 2;
        } else {
            probeAtMillis = nowMillis + ejectionMillis;
            ejectionMillis = Math.min(ejectionMillis * 2, MAX_EJECTION_MILLIS);
        }
    }
}
