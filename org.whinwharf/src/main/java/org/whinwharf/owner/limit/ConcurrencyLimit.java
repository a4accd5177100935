package org.whinwharf.owner.limit;

import org.whinwharf.wire.schema.Limits;

/**
 * Learned limit on the number of requests that one target runs concurrently.
 *
 * <p>The limit grows with completed requests, not with time, because an engine that has just started warms up only by
 * the requests that it completes. The limit decreases when the service time exceeds the best observed value and when
 * the target refuses a request. It returns to the cold value when the target seems to have restarted.
 */
public final class ConcurrencyLimit {
    private static final double SMOOTHING_FACTOR = 0.3;
    private static final double DECREASE_FACTOR = 0.75;
    private static final double REFUSAL_FACTOR = 0.5;
    private static final double BASELINE_GROWTH_FACTOR = 1.002;
    private static final double COLD_SLOWDOWN_FACTOR = 2.0;
    private static final int COLD_RESET_SAMPLES = 2;
    private static final int BASE_WORK_UNITS = 4;
    private static final double WORK_UNITS_PER_PREFILL_TOKEN = 1.0 / 16;

    private Limits limits;
    private int value;
    private int slowStartThreshold;
    private int fullSamples;
    private int samplesSinceDecrease;
    private int consecutiveSlowSamples;
    private double smoothedUnitMillis;
    private double baselineUnitMillis;

    /**
     * Creates the limit of a target that is assumed to be cold.
     *
     * @param limits bounds from the document, with default values filled in
     */
    public ConcurrencyLimit(Limits limits) {
        this.limits = limits;
        resetToCold();
    }

    /**
     * Applies new bounds and keeps the learned limit as far as they allow it.
     *
     * @param newLimits bounds from the document, with default values filled in
     */
    public void updateBounds(Limits newLimits) {
        if (!newLimits.equals(limits)) {
            limits = newLimits;
            value = Math.min(value, limits.getMost());
            slowStartThreshold = Math.max(value, Math.min(slowStartThreshold, limits.getMost()));
        }
    }

    /**
     * Returns the limit.
     *
     * @return maximum number of requests in flight
     */
    public int value() {
        return value;
    }

    /**
     * Returns whether the target is still treated as just started.
     *
     * @return true while the limit is at its cold value
     */
    public boolean isCold() {
        return value <= limits.getCold();
    }

    /**
     * Returns whether the limit still grows with every sample taken at the limit, as after a start of the target.
     *
     * @return true until the first decrease, or until the limit reaches its upper bound
     */
    public boolean isInSlowStart() {
        return value < slowStartThreshold;
    }

    /** Resets the limit to the cold value and discards the observed service times. */
    public void resetToCold() {
        value = Math.min(limits.getCold(), limits.getMost());
        slowStartThreshold = limits.getMost();
        fullSamples = 0;
        samplesSinceDecrease = 0;
        consecutiveSlowSamples = 0;
        smoothedUnitMillis = 0;
        baselineUnitMillis = 0;
    }

    /** Halves the limit after the target refused a request. */
    public void onRefused() {
        shrink(REFUSAL_FACTOR);
    }

    /**
     * Lowers the limit to the number of running requests while further requests are queued inside the target.
     *
     * <p>A queue inside the target is not ordered by tier. Service time alone reveals it late, because the queueing
     * time is small beside the duration of long answers.
     *
     * @param running requests that the target ran while others were queued there
     */
    public void onQueued(int running) {
        int newValue = Math.max(Math.min(limits.getCold(), limits.getMost()), running);
        if (value > newValue) {
            value = newValue;
            slowStartThreshold = value;
            fullSamples = 0;
            samplesSinceDecrease = 0;
        }
    }

    /**
     * Learns from a completed request.
     *
     * @param sample measured times and token counts
     * @param limitReached true when the grant of the request used the last free slot, so that the sample shows whether
     *     the limit can grow
     */
    public void onCompleted(CompletionSample sample, boolean limitReached) {
        double unitMillis = unitMillis(sample);
        if (isSuddenlySlower(unitMillis)) {
            consecutiveSlowSamples++;
            if (consecutiveSlowSamples >= COLD_RESET_SAMPLES) {
                resetToCold();
            }
            return;
        }
        consecutiveSlowSamples = 0;
        smooth(unitMillis);
        samplesSinceDecrease++;
        if (smoothedUnitMillis > limits.getSlowFactor() * baselineUnitMillis) {
            decreaseOnce();
        } else if (limitReached) {
            increase();
        }
    }

    private static double unitMillis(CompletionSample sample) {
        double workUnits =
                BASE_WORK_UNITS + sample.answerTokens() + sample.prefillTokens() * WORK_UNITS_PER_PREFILL_TOKEN;
        return Math.max(1, sample.totalMillis()) / workUnits;
    }

    private boolean isSuddenlySlower(double unitMillis) {
        return value > limits.getCold()
                && smoothedUnitMillis > 0
                && unitMillis > COLD_SLOWDOWN_FACTOR * limits.getSlowFactor() * smoothedUnitMillis;
    }

    private void smooth(double unitMillis) {
        smoothedUnitMillis = smoothedUnitMillis == 0
                ? unitMillis
                : smoothedUnitMillis + SMOOTHING_FACTOR * (unitMillis - smoothedUnitMillis);
        // The baseline rises slowly, since a target that became permanently slower would otherwise keep a low limit
        // for ever.
        baselineUnitMillis = baselineUnitMillis == 0
                ? smoothedUnitMillis
                : Math.min(baselineUnitMillis * BASELINE_GROWTH_FACTOR, smoothedUnitMillis);
    }

    private void decreaseOnce() {
        // Requests that complete now were admitted before the last decrease took effect, so they say nothing about
        // the new limit.
        if (samplesSinceDecrease > value) {
            shrink(DECREASE_FACTOR);
        }
    }

    private void shrink(double factor) {
        value = Math.max(Math.min(limits.getCold(), limits.getMost()), (int) (value * factor));
        slowStartThreshold = value;
        fullSamples = 0;
        samplesSinceDecrease = 0;
    }

    private void increase() {
        if (value >= limits.getMost()) {
            return;
        }
        fullSamples++;
        if (value < slowStartThreshold || fullSamples >= value) {
            value++;
            fullSamples = 0;
        }
    }
}
