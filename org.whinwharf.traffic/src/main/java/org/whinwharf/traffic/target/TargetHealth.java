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
    private static final int EJECT_AFTER_FAILURES = 2;
    /** Share of failures among the last answers that ejects even when successes lie between. */
    private static final double EJECT_SHARE = 0.5;
    /** Weight of the newest answer in the share: the memory is about eight answers. */
    private static final double NEWEST_WEIGHT = 0.12;
    /** First time out of use; about the time a crashed target needs to come back. */
    private static final long FIRST_EJECTION_MILLIS = 500;
    /** Time between requests to a target on trial: most first events come within it. */
    private static final long TRIAL_MILLIS = 500;
    /** Longest time out of use: a recovered target is back within this. */
    private static final long LONGEST_EJECTION_MILLIS = 4_000;

    private int failuresInRow;
    private double failureShare;
    private long ejectionMillis = FIRST_EJECTION_MILLIS;
    private boolean ejected;
    private long probeAtMillis;
    private boolean probing;
    private boolean onTrial;
    private long trialAtMillis;

    /** Notes a request that the target answered properly, whatever the answer says. */
    public void recordSuccess() {
        onTrial = false;
        failuresInRow = 0;
        failureShare *= 1 - NEWEST_WEIGHT;
        if (failureShare < EJECT_SHARE / 4) {
            ejectionMillis = FIRST_EJECTION_MILLIS;
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
        failuresInRow++;
        failureShare += (1 - failureShare) * NEWEST_WEIGHT;
        return eject(nowMillis, unreachable || failuresInRow >= EJECT_AFTER_FAILURES);
    }

    /**
     * Notes a request that the target answered with an error of its own. Some requests always end so, hence only their
     * share counts, never two in a row.
     *
     * @param nowMillis steady time in milliseconds
     * @return true when this ejected the target
     */
    public boolean recordErrorAnswer(long nowMillis) {
        failureShare += (1 - failureShare) * NEWEST_WEIGHT;
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
        return !ejected && (!onTrial || nowMillis >= trialAtMillis + TRIAL_MILLIS);
    }

    /**
     * Notes a request that is sent.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void recordDispatch(long nowMillis) {
        trialAtMillis = nowMillis;
    }

    private boolean eject(long nowMillis, boolean certain) {
        if (ejected || !certain && failureShare < EJECT_SHARE) {
            return false;
        }
        ejected = true;
        probeAtMillis = nowMillis + ejectionMillis;
        ejectionMillis = Math.min(ejectionMillis * 2, LONGEST_EJECTION_MILLIS);
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
            trialAtMillis = nowMillis - TRIAL_MILLIS;
            failuresInRow = 0;
            failureShare = EJECT_SHARE / 2;
        } else {
            probeAtMillis = nowMillis + ejectionMillis;
            ejectionMillis = Math.min(ejectionMillis * 2, LONGEST_EJECTION_MILLIS);
        }
    }
}
