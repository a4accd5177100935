package org.whinwharf.traffic.quota;

import org.whinwharf.traffic.waiting.QueueTimeouts;

/**
 * This process's view of one organisation's fleet-wide token bucket.
 *
 * <p>Every process keeps the whole bucket and subtracts the usage that the other processes report. Reports are a
 * fraction of a second old, so the level may fall below zero. The debt is paid off before further requests are
 * admitted, which keeps usage over any longer window within the quota. Unreachable processes may admit requests too, so
 * their share of the bucket and of its refill is left to them, so that the parts of a partitioned fleet use about one
 * bucket together. Once they are reachable again, a debt for their share is forgiven, and what they report late is
 * charged to what was left to them first.
 */
public final class QuotaAccount {
    /** Share of the burst available at a restart, when the usage admitted before the restart is unknown. */
    private static final double RESTART_BURST_SHARE = 0.5;
    /**
     * Multiple of a process's equal share of the rate that it may admit without a coordinator. It exceeds one because
     * callers spread unevenly over processes. While reports are a second old, the fleet overspends by about one and a
     * half seconds' rate, which is within the tolerance of a quota window of eight seconds.
     */
    private static final double UNCOORDINATED_RATE_SHARES = 2;
    /** Time over which the unused rate of uncoordinated admission accumulates. */
    private static final double UNCOORDINATED_BURST_SECONDS = 0.25;
    /** Time for which the share of processes that were unreachable is kept: in this time, all of them have reported. */
    private static final long WITHHELD_RETENTION_MILLIS = 10_000;
    /** Time without a rejection that ends a period of rejections: longer than gaps between bursts of arrivals. */
    private static final long REJECTION_GAP_MILLIS = 1_000;

    private double ratePerSecond;
    private double burst;
    private double level;
    private double reachableShare = 1;
    /** Tokens of the bucket that are left to unreachable processes. */
    private double withheldLevel;
    /** Tokens of the refill that are left to unreachable processes. */
    private double withheldTokens;

    private long withheldUntilMillis;
    private double rejectedBacklogTokens;
    private long rejectingSinceMillis;
    private long lastRejectionMillis = Long.MIN_VALUE / 2;
    private long refilledAtMillis;
    private final RecentTokens recentTokens = new RecentTokens();
    private double uncoordinatedLevel = Double.MAX_VALUE;
    private long uncoordinatedRefilledAtMillis;

    /**
     * Creates an account.
     *
     * @param ratePerSecond refill rate in tokens per second, above 0
     * @param burst bucket capacity in tokens
     * @param freshFleet true when the whole fleet starts for the first time
     * @param nowMillis monotonic time in milliseconds
     */
    public QuotaAccount(double ratePerSecond, double burst, boolean freshFleet, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = freshFleet ? burst : burst * RESTART_BURST_SHARE;
        this.refilledAtMillis = nowMillis;
    }

    /**
     * Applies a new quota.
     *
     * @param newRatePerSecond refill rate in tokens per second, above 0
     * @param newBurst bucket capacity in tokens
     * @param nowMillis monotonic time in milliseconds
     */
    public void update(double newRatePerSecond, double newBurst, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        level = Math.min(level, burst * reachableShare);
    }

    /**
     * Sets the share of the bucket and of its refill that the reachable part of the fleet, this process included, may
     * use.
     *
     * <p>Processes that become unreachable have been so for a while before it is noticed, and had the whole bucket in
     * that time, as this part of the fleet had. A smaller share therefore counts from the begin of that time on: what
     * this part has used since then beyond its share is a debt.
     *
     * @param share above 0, at most 1
     * @param unnoticedMillis time for which processes may have been unreachable before it was noticed
     * @param nowMillis monotonic time in milliseconds
     */
    public void updateReachableShare(double share, long unnoticedMillis, long nowMillis) {
        refill(nowMillis);
        if (share < reachableShare) {
            double available = Math.max(0, level + recentTokens.within(unnoticedMillis, nowMillis));
            double withheld = available * (1 - share / reachableShare);
            level -= withheld;
            withheldLevel += withheld;
        } else if (share > reachableShare) {
            double returned = withheldLevel * (share - reachableShare) / (1 - reachableShare);
            withheldLevel -= returned;
            // No more than the debt is given back at once: others may have used it, and each part would use it again.
            double debt = Math.min(returned, Math.max(0, -level));
            level += debt;
            withheldTokens += returned - debt;
        }
        reachableShare = share;
    }

    /**
     * Admits a request if the level is above zero.
     *
     * @param tokens tokens that the request uses
     * @param nowMillis monotonic time in milliseconds
     * @return true when it is admitted
     */
    public boolean tryAdmit(long tokens, long nowMillis) {
        refill(nowMillis);
        if (level <= 0) {
            rejectedBacklogTokens += tokens;
            if (nowMillis - lastRejectionMillis > REJECTION_GAP_MILLIS) {
                rejectingSinceMillis = nowMillis;
            }
            lastRejectionMillis = nowMillis;
            return false;
        }
        charge(tokens, nowMillis);
        return true;
    }

    /**
     * Admits a request without a coordinator, if both the quota and this process's own rate limit allow it. In a large
     * fleet, reports of remote usage are a second old or more. If one organisation floods all processes at once, each
     * process would otherwise admit against the same tokens before it receives the other processes' reports.
     *
     * @param tokens tokens that the request uses
     * @param processes number of processes that admit requests
     * @param nowMillis monotonic time in milliseconds
     * @return true when it is admitted
     */
    public boolean tryAdmitUncoordinated(long tokens, int processes, long nowMillis) {
        double uncoordinatedRatePerSecond = ratePerSecond * UNCOORDINATED_RATE_SHARES / processes;
        uncoordinatedLevel = Math.min(
                uncoordinatedRatePerSecond * UNCOORDINATED_BURST_SECONDS,
                uncoordinatedLevel
                        + uncoordinatedRatePerSecond * (nowMillis - uncoordinatedRefilledAtMillis) / 1_000.0);
        uncoordinatedRefilledAtMillis = nowMillis;
        if (uncoordinatedLevel <= 0) {
            rejectedBacklogTokens += tokens;
            return false;
        }
        if (!tryAdmit(tokens, nowMillis)) {
            return false;
        }
        uncoordinatedLevel -= tokens;
        return true;
    }

    /**
     * Refunds the tokens of an admitted request that was not executed.
     *
     * @param tokens tokens that were admitted
     */
    public void refund(long tokens) {
        level = Math.min(burst * reachableShare, level + tokens);
        recentTokens.add(-tokens, refilledAtMillis);
    }

    /**
     * Subtracts tokens that another process admitted.
     *
     * @param tokens tokens admitted since its previous report
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordRemoteAdmission(long tokens, long nowMillis) {
        refill(nowMillis);
        charge(tokens, nowMillis);
    }

    /**
     * Subtracts tokens that a process admitted which may have been unreachable meanwhile, first from the refill that
     * was left to unreachable processes.
     *
     * @param tokens tokens admitted since its previous report
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordLateAdmission(long tokens, long nowMillis) {
        refill(nowMillis);
        double withheldUsed = Math.min(tokens, withheldTokens);
        withheldTokens -= withheldUsed;
        charge(tokens - withheldUsed, nowMillis);
    }

    /**
     * Returns the Retry-After delay for a caller that was just rejected: the time until the debt is paid off and the
     * callers rejected here before it have had their turn. If all callers got the same delay, they would retry together
     * and most would be rejected again.
     *
     * @param processes number of processes that admit from the same quota
     * @return time in milliseconds, at most {@link QueueTimeouts#MAX_RETRY_AFTER_MILLIS}
     */
    public long retryAfterMillis(int processes) {
        double localRatePerSecond = ratePerSecond / Math.max(1, processes);
        double debtSeconds = Math.max(0, -level) / ratePerSecond;
        double turnMillis = (debtSeconds + rejectedBacklogTokens / localRatePerSecond) * 1_000;
        return (long) Math.min(QueueTimeouts.MAX_RETRY_AFTER_MILLIS, turnMillis + 1);
    }

    /**
     * Returns the Retry-After delay for a caller that the coordinator just rejected for all processes. New requests of
     * an organisation over its quota use the tokens before those that return, so the delay grows with the time for
     * which requests have been rejected, as it does for queues.
     *
     * @return time in milliseconds, at most {@link QueueTimeouts#MAX_RETRY_AFTER_MILLIS}
     */
    public long coordinatorRetryAfterMillis() {
        long rejectingForMillis = lastRejectionMillis - rejectingSinceMillis;
        return Math.min(QueueTimeouts.MAX_RETRY_AFTER_MILLIS, retryAfterMillis(1) + Math.max(0, rejectingForMillis));
    }

    /**
     * Returns the level of the bucket.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return tokens; a negative level is a debt that is paid off first
     */
    public long levelTokens(long nowMillis) {
        refill(nowMillis);
        return (long) level;
    }

    private void charge(double tokens, long nowMillis) {
        level -= tokens;
        recentTokens.add(tokens, nowMillis);
    }

    private void refill(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis = nowMillis;
        double fullRefill = ratePerSecond * elapsedMillis / 1_000.0;
        double refill = fullRefill * reachableShare;
        if (reachableShare < 1) {
            withheldTokens += fullRefill - refill;
            withheldUntilMillis = nowMillis + WITHHELD_RETENTION_MILLIS;
        } else if (nowMillis >= withheldUntilMillis) {
            withheldTokens = 0;
        }
        level = Math.min(burst * reachableShare, level + refill);
        rejectedBacklogTokens = Math.max(0, rejectedBacklogTokens - refill);
    }
}
