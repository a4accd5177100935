package org.whinwharf.owner.queue;

/** Learned rate at which the targets of a slice work off predicted cost. */
public final class DrainRate {
    private static final double WINDOW_MILLIS = 10_000;
    private static final double MIN_SPAN_MILLIS = 1_000;

    private double decayedCost;
    private long firstCompletionMillis = Long.MIN_VALUE;
    private long lastCompletionMillis;

    /**
     * Counts completed work.
     *
     * @param cost predicted cost of what completed
     * @param nowMillis time now
     */
    public void addCompleted(int cost, long nowMillis) {
        if (firstCompletionMillis == Long.MIN_VALUE) {
            firstCompletionMillis = nowMillis;
            lastCompletionMillis = nowMillis;
        }
        decayedCost = decayedCostAt(nowMillis) + cost;
        lastCompletionMillis = nowMillis;
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

    // The rate is the one at the last completion, and unknown once that is long ago. One that decayed with time would
    // predict endless waits while a few long requests run, and refuse all that could be served after them.
    private double costPerMilli(long nowMillis) {
        if (firstCompletionMillis == Long.MIN_VALUE || nowMillis - lastCompletionMillis > WINDOW_MILLIS) {
            return 0;
        }
        double spanMillis =
                Math.min(WINDOW_MILLIS, Math.max(MIN_SPAN_MILLIS, lastCompletionMillis - firstCompletionMillis));
        return decayedCost / spanMillis;
    }

    private double decayedCostAt(long nowMillis) {
        return decayedCost * Math.exp(-(nowMillis - lastCompletionMillis) / WINDOW_MILLIS);
    }
}
