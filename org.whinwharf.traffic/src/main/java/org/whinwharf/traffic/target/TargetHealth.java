package org.whinwharf.traffic.target;

/**
 * Passive health check and circuit breaker of one target, based on its answers to this process's requests.
 *
 * <p>A target that passes health checks may still fail requests, so only requests count against it. After repeated
 * failures the target is ejected for a time that doubles up to a limit. It returns only after a successful probe,
 * unless it was ejected for its silence and sends again, because a target that was restarted meanwhile is cold and
 * would fail under its full share of requests. A target that hangs may pass its probe, so it is then on trial (the
 * half-open state of a circuit breaker): it gets one request at a time until an answer starts. A return of a hung
 * target thus costs one or two requests and not a full set of slots.
 */
public final class TargetHealth {
    /** Consecutive failures that eject a target. A single lost connection also happens on healthy targets. */
    private static final int CONSECUTIVE_FAILURE_THRESHOLD = 2;
    /** Share of failures among recent answers that ejects a target even if successes lie between them. */
    private static final double FAILURE_SHARE_THRESHOLD = 0.5;
    /** Weight of the newest answer in the moving average of failures, which spans about eight answers. */
    private static final double SMOOTHING_FACTOR = 0.12;
    /** Duration of the first ejection: about the time that a crashed target needs to restart. */
    private static final long INITIAL_EJECTION_MILLIS = 500;
    /** Interval between requests to a target on trial: most first events arrive within it. */
    private static final long TRIAL_INTERVAL_MILLIS = 500;
    /** Maximum duration of an ejection: a recovered target is used again within this time. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    private int consecutiveFailures;
    private double failureShare;
    private long ejectionMillis = INITIAL_EJECTION_MILLIS;
    private boolean ejected;
    /** Whether it was ejected only because it had sent nothing for too long. */
    private boolean ejectedForSilence;

    private long probeAtMillis;
    private boolean probing;
    /** Whether the pending probe began before the target sent again, so that its result says nothing any more. */
    private boolean probeOutdated;

    private boolean onTrial;
    private long lastDispatchMillis;

    /** Records a request that the target answered properly, whatever the content of the answer. */
    public void recordSuccess() {
        onTrial = false;
        consecutiveFailures = 0;
        failureShare *= 1 - SMOOTHING_FACTOR;
        if (failureShare < FAILURE_SHARE_THRESHOLD / 4) {
            ejectionMillis = INITIAL_EJECTION_MILLIS;
        }
    }

    /**
     * Records a request that the target failed.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param unreachable true when no connection could be made, which ejects the target immediately
     * @return true when this ejected the target
     */
    public boolean recordFailure(long nowMillis, boolean unreachable) {
        consecutiveFailures++;
        failureShare += (1 - failureShare) * SMOOTHING_FACTOR;
        ejectedForSilence = false;
        return eject(nowMillis, unreachable || consecutiveFailures >= CONSECUTIVE_FAILURE_THRESHOLD);
    }

    /**
     * Records that the target has sent nothing for too long, which ejects it until it sends again.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true when this ejected the target
     */
    public boolean recordSilence(long nowMillis) {
        boolean ejects = eject(nowMillis, true);
        ejectedForSilence = ejectedForSilence || ejects;
        return ejects;
    }

    /**
     * Records that the target has sent bytes. One that was ejected for its silence is sound and needs no probe.
     *
     * @return true when this ended an ejection
     */
    public boolean recordLifeSign() {
        if (!ejected || !ejectedForSilence) {
            return false;
        }
        ejected = false;
        ejectedForSilence = false;
        probeOutdated = probing;
        ejectionMillis = INITIAL_EJECTION_MILLIS;
        return true;
    }

    /**
     * Records a request that the target answered with an error. Some requests always end with an error, so only the
     * share of such answers counts, not consecutive ones.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true when this ejected the target
     */
    public boolean recordErrorAnswer(long nowMillis) {
        failureShare += (1 - failureShare) * SMOOTHING_FACTOR;
        return eject(nowMillis, false);
    }

    /** Records that a successful answer to a request starts. */
    public void recordAnswerStart() {
        onTrial = false;
    }

    /**
     * Returns whether the target may get another request.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return false while it is ejected, or on trial with a recent request
     */
    public boolean admits(long nowMillis) {
        return !ejected && (!onTrial || nowMillis >= lastDispatchMillis + TRIAL_INTERVAL_MILLIS);
    }

    /**
     * Records a request that is dispatched to the target.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordDispatch(long nowMillis) {
        lastDispatchMillis = nowMillis;
    }

    private boolean eject(long nowMillis, boolean immediate) {
        if (ejected || !immediate && failureShare < FAILURE_SHARE_THRESHOLD) {
            return false;
        }
        ejected = true;
        probeAtMillis = nowMillis + ejectionMillis;
        ejectionMillis = Math.min(ejectionMillis * 2, MAX_EJECTION_MILLIS);
        return true;
    }

    /**
     * Returns whether the target is ejected.
     *
     * @return true while it is ejected
     */
    public boolean ejected() {
        return ejected;
    }

    /**
     * Starts a probe if one is due.
     *
     * @param nowMillis monotonic time in milliseconds
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
     * Makes the next probe of an ejected target due, because what prevented earlier ones may have ended.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void probeSoon(long nowMillis) {
        probeAtMillis = Math.min(probeAtMillis, nowMillis);
    }

    /**
     * Records the result of a probe.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param healthy true when the target reported that it is healthy
     */
    public void recordProbeResult(long nowMillis, boolean healthy) {
        boolean outdated = probeOutdated;
        probing = false;
        probeOutdated = false;
        if (!ejected || outdated) {
            return;
        }
        if (healthy) {
            ejected = false;
            ejectedForSilence = false;
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
