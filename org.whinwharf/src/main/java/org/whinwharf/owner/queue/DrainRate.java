package org.whinwharf.owner.queue;

/** Learned rate at which the targets of a slice work off predicted cost. */
public final class DrainRate {
    private static final double WINDOW_MILLIS = 10_000;
    private static final double SHORTEST_MILLIS = 1_000;

    private double sum;
    private long firstAtMillis = Long.MIN_VALUE;
    private long lastAtMillis;

    /**
     * Counts completed work.
     *
     * @param cost predicted cost of what completed
     * @param nowMillis time now
     */
    public void completed(int cost, long nowMillis) {
        if (firstAtMillis == Long.MIN_VALUE) {
            firstAtMillis = nowMillis;
            lastAtMillis = nowMillis;
        }
        sum = decayed(nowMillis) + cost;
        lastAtMillis = nowMillis;
    }

    /**
     * Predicts how long work takes.
     *
     * @param cost predicted cost
     * @param nowMillis time now
     * @return milliseconds; 0 when nothing was learned
     */
    public double predictMillis(long cost, long nowMillis) {
        double rate = costPerMilli(nowMillis);
        return rate <= 0 ? 0 : cost / rate;
    }

    /**
     * Returns the rate.
     *
     * @param nowMillis time now
     * @return cost per millisecond; 0 when nothing was learned
     */
    public double costPerMilli(long nowMillis) {
        if (firstAtMillis == Long.MIN_VALUE) {
            return 0;
        }
        double spanMillis = Math.min(WINDOW_MILLIS, Math.max(SHORTEST_MILLIS, nowMillis - firstAtMillis));
        return decayed(nowMillis) / spanMillis;
    }

    private double decayed(long nowMillis) {
        return sum * Math.exp(-(nowMillis - lastAtMillis) / WINDOW_MILLIS);
    }
}
