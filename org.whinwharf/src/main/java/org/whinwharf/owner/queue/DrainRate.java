package org.whinwharf.owner.queue;

/** Drain rate of a slice: predicted cost that its targets complete per unit of time. */
public final class DrainRate {
    private static final double WINDOW_MILLIS = 10_000;
    private static final double MIN_SPAN_MILLIS = 1_000;

    private double decayedCost;
    private long firstCompletionMillis = Long.MIN_VALUE;
    private long lastCompletionMillis;

    /**
     * Adds the cost of a completed request.
     *
     * @param cost predicted cost of the request
     * @param nowMillis current time
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
     * Predicts how long the targets take to complete a cost.
     *
     * @param cost predicted cost
     * @param nowMillis current time
     * @return milliseconds; 0 when the rate is unknown
     */
    public double predictMillis(long cost, long nowMillis) {
        double rate = costPerMilli(nowMillis);
        return rate <= 0 ? 0 : cost / rate;
    }

    // The rate is that of the last completion, and becomes unknown once the last completion is older than the window.
    // A rate that decayed with time would predict unbounded waits while a few long requests run, and every request
    // that could be served after them would be refused.
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
