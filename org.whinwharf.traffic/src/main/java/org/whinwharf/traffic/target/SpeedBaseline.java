package org.whinwharf.traffic.target;

import java.util.Arrays;

/**
 * Time to the first event at the targets of one service, apart from the slowness of each single target.
 *
 * <p>The time is a sum of four terms: an overhead, the time to read the prompt, and the share of either by which a full
 * target is slower than an idle one. Engines differ in the ratio of these terms. If only one factor were learned for
 * each target, it would depend on the prompts that the target happened to get: predictions for short prompts would be
 * too low and those for long ones too high, or the reverse. The terms are therefore learned from the answers of all
 * targets of the service. Not thread-safe.
 */
public final class SpeedBaseline {
    /** Time to the first event apart from the prompt, assumed before any measurement. */
    private static final double ASSUMED_OVERHEAD_MILLIS = 20;
    /** Share of its weight that a measurement keeps at the next one: about the last 500 count. */
    private static final double RETENTION = 0.998;
    /** Weight of the assumed terms, in measurements: terms that the measurements do not reveal stay as assumed. */
    private static final double ASSUMPTION_WEIGHT = 0.25;
    /** Limits of each term, relative to the one assumed. */
    private static final double MIN_RATIO = 0.05;

    private static final double MAX_RATIO = 10;
    /** Limit of one measurement relative to its prediction, so that one outlier does not move the terms. */
    private static final double MAX_DEVIATION = 4;
    /** Passes over the terms for each measurement; they start from the last solution, which is close. */
    private static final int PASSES = 4;

    private static final int TERMS = 4;

    private final boolean learning;
    private final double[] ratios = new double[TERMS];
    /** Decayed sums over the measurements: products of the terms' shares, and of these with the measured ratio. */
    private final double[][] products = new double[TERMS][TERMS];

    private final double[] measured = new double[TERMS];

    /**
     * Creates a baseline with the assumed terms.
     *
     * @param learning true if measurements change the terms
     */
    public SpeedBaseline(boolean learning) {
        this.learning = learning;
        Arrays.fill(ratios, 1);
    }

    /**
     * Predicts the time to the first event at a target of slowness 1.
     *
     * @param uncachedTokens prompt tokens that the target has to read, including those of requests ahead
     * @param occupancy requests at the target divided by its slots
     * @return time in milliseconds
     */
    public double firstEventMillis(long uncachedTokens, double occupancy) {
        double assumedMillis = assumedMillis(uncachedTokens, occupancy);
        if (!learning) {
            return assumedMillis;
        }
        double promptShare = promptShare(uncachedTokens);
        double idle = (1 - promptShare) * ratios[0] + promptShare * ratios[2];
        double full = (1 - promptShare) * ratios[1] + promptShare * ratios[3];
        return assumedMillis / (1 + occupancy) * (idle + occupancy * full);
    }

    /**
     * Records a first event. Requests without a prompt to read are ignored: those of other services have none.
     *
     * @param uncachedTokens tokens on which the prediction was based
     * @param occupancy occupancy on which the prediction was based
     * @param tookMillis time in milliseconds from the dispatch to the first event, divided by the target's slowness
     */
    void record(long uncachedTokens, double occupancy, double tookMillis) {
        if (!learning || uncachedTokens <= 0) {
            return;
        }
        double predictedMillis = firstEventMillis(uncachedTokens, occupancy);
        double boundedMillis =
                Math.max(predictedMillis / MAX_DEVIATION, Math.min(predictedMillis * MAX_DEVIATION, tookMillis));
        double ratio = boundedMillis / assumedMillis(uncachedTokens, occupancy);
        double promptShare = promptShare(uncachedTokens);
        double idleShare = 1 / (1 + occupancy);
        double[] shares = {
            (1 - promptShare) * idleShare,
            (1 - promptShare) * (1 - idleShare),
            promptShare * idleShare,
            promptShare * (1 - idleShare)
        };
        for (int i = 0; i < TERMS; i++) {
            for (int j = 0; j < TERMS; j++) {
                products[i][j] = products[i][j] * RETENTION + shares[i] * shares[j];
            }
            measured[i] = measured[i] * RETENTION + shares[i] * ratio;
        }
        solve();
    }

    /** Sets the ratios to those within their limits that fit the measurements and the assumption best. */
    private void solve() {
        for (int pass = 0; pass < PASSES; pass++) {
            for (int i = 0; i < TERMS; i++) {
                double remaining = measured[i] + ASSUMPTION_WEIGHT;
                for (int j = 0; j < TERMS; j++) {
                    remaining -= i == j ? 0 : products[i][j] * ratios[j];
                }
                double best = remaining / (products[i][i] + ASSUMPTION_WEIGHT);
                ratios[i] = Math.max(MIN_RATIO, Math.min(MAX_RATIO, best));
            }
        }
    }

    /** Returns the share of the prompt in the assumed time. */
    private static double promptShare(long uncachedTokens) {
        double promptMillis = uncachedTokens / TargetSpeed.ASSUMED_PREFILL_TOKENS_PER_MILLI;
        return promptMillis / (ASSUMED_OVERHEAD_MILLIS + promptMillis);
    }

    private static double assumedMillis(long uncachedTokens, double occupancy) {
        return (ASSUMED_OVERHEAD_MILLIS + uncachedTokens / TargetSpeed.ASSUMED_PREFILL_TOKENS_PER_MILLI)
                * (1 + occupancy);
    }
}
