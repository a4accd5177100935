package org.whinwharf.traffic.quota;

/**
 * One organisation's token bucket over all processes, as this process sees it.
 *
 * <p>Every process keeps the whole bucket and subtracts what the others say they admitted. News is a fraction of a
 * second old, so a bucket may go below zero; the debt is then paid off before anything more is admitted, which keeps
 * the sum over any longer window to the quota. Processes that are not heard from may admit too: their part of the
 * refill is left to them, so that two halves of a parted fleet together stay within the quota.
 */
public final class QuotaAccount {
    /** Part of the burst that a process begins with when it cannot know what its predecessor admitted. */
    private static final double RESTART_BURST_SHARE = 0.5;
    /**
     * Even parts of the rate that a process may use alone: callers spread unevenly over processes, and what all
     * overspend in a second of old news, some one and a half seconds' rate, is within what a window of eight seconds
     * may exceed the quota by.
     */
    private static final double UNCOORDINATED_RATE_SHARES = 2;
    /** Time for which unused pace is saved up. */
    private static final double UNCOORDINATED_BURST_SECONDS = 0.25;

    private double ratePerSecond;
    private double burst;
    private double level;
    private double reachableShare = 1;
    private double rejectedBacklogTokens;
    private long refilledAtMillis;
    private double uncoordinatedLevel = Double.MAX_VALUE;
    private long uncoordinatedRefilledAtMillis;

    /**
     * Creates an account.
     *
     * @param ratePerSecond refill, above 0
     * @param burst most that can be saved up
     * @param freshFleet true when the whole fleet starts for the first time
     * @param nowMillis steady time in milliseconds
     */
    public QuotaAccount(double ratePerSecond, double burst, boolean freshFleet, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = freshFleet ? burst : burst * RESTART_BURST_SHARE;
        this.refilledAtMillis = nowMillis;
    }

    /**
     * Takes a new quota.
     *
     * @param newRatePerSecond refill, above 0
     * @param newBurst most that can be saved up
     * @param nowMillis steady time in milliseconds
     */
    public void update(double newRatePerSecond, double newBurst, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    /**
     * Sets which part of the fleet this process hears from, itself included.
     *
     * @param share above 0, at most 1
     * @param nowMillis steady time in milliseconds
     */
    public void updateReachableShare(double share, long nowMillis) {
        refill(nowMillis);
        reachableShare = share;
    }

    /**
     * Admits a request if the quota allows it.
     *
     * @param tokens what the request uses
     * @param nowMillis steady time in milliseconds
     * @return true when it is admitted
     */
    public boolean tryAdmit(long tokens, long nowMillis) {
        refill(nowMillis);
        if (level <= 0) {
            rejectedBacklogTokens += tokens;
            return false;
        }
        level -= tokens;
        return true;
    }

    /**
     * Admits a request without a coordinator, if the quota and this process's own pace allow it. In a large fleet news
     * of what the others admit is a second old or more; when one organisation floods all processes at once, each would
     * take the same tokens from its bucket before it hears of the rest.
     *
     * @param tokens what the request uses
     * @param processes processes that admit
     * @param nowMillis steady time in milliseconds
     * @return true when it is admitted
     */
    public boolean tryAdmitUncoordinated(long tokens, int processes, long nowMillis) {
        double pacePerSecond = ratePerSecond * UNCOORDINATED_RATE_SHARES / processes;
        uncoordinatedLevel = Math.min(
                pacePerSecond * UNCOORDINATED_BURST_SECONDS,
                uncoordinatedLevel + pacePerSecond * (nowMillis - uncoordinatedRefilledAtMillis) / 1_000.0);
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
     * Gives back what a request used that has not run.
     *
     * @param tokens what was admitted
     */
    public void refund(long tokens) {
        level = Math.min(burst, level + tokens);
    }

    /**
     * Takes what another process admitted.
     *
     * @param tokens tokens since it was last heard of
     * @param nowMillis steady time in milliseconds
     */
    public void recordRemoteAdmission(long tokens, long nowMillis) {
        refill(nowMillis);
        level -= tokens;
    }

    /**
     * Returns when a caller that was just refused should come back: once the debt is paid and those refused here before
     * it have had their turn. Callers that were all told the same moment would come back together and most be refused
     * again.
     *
     * @param processes processes that admit from the same quota
     * @return time in milliseconds
     */
    public long retryAfterMillis(int processes) {
        double ownRate = ratePerSecond / Math.max(1, processes);
        double debtSeconds = Math.max(0, -level) / ratePerSecond;
        return (long) ((debtSeconds + rejectedBacklogTokens / ownRate) * 1_000) + 1;
    }

    /**
     * Returns what is left.
     *
     * @param nowMillis steady time in milliseconds
     * @return tokens; below 0 a debt that is paid off first
     */
    public long levelTokens(long nowMillis) {
        refill(nowMillis);
        return (long) level;
    }

    private void refill(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis = nowMillis;
        double refill = ratePerSecond * reachableShare * elapsedMillis / 1_000.0;
        level = Math.min(burst, level + refill);
        rejectedBacklogTokens = Math.max(0, rejectedBacklogTokens - refill);
    }
}
