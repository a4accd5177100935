package org.whinwharf.owner.limit;

import org.whinwharf.wire.schema.Limits;

/**
 * Learned number of requests that one target bears at once.
 *
 * <p>Grows by completions, not by time: an engine that has just started gains nothing from waiting, only from work done
 * well. Shrinks when service time exceeds the best seen, when the target refuses, and falls to the cold value when the
 * target seems to have started anew.
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
     * Creates the limit of a target that is taken to be cold.
     *
     * @param limits bounds of the document, absent values filled in
     */
    public ConcurrencyLimit(Limits limits) {
        this.limits = limits;
        resetToCold();
    }

    /**
     * Takes in other bounds; what was learned stays, as far as the bounds allow it.
     *
     * @param newLimits bounds of the document, absent values filled in
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
     * @return requests in flight that the target bears
     */
    public int value() {
        return value;
    }

    /**
     * Tells whether the target is still treated as just started.
     *
     * @return true while the limit is at its cold value
     */
    public boolean isCold() {
        return value <= limits.getCold();
    }

    /**
     * Tells whether the limit is still in its fast growth after a start.
     *
     * @return true until the first step back, or until the bound is reached
     */
    public boolean isInSlowStart() {
        return value < slowStartThreshold;
    }

    /** Falls back to the cold value and forgets how fast the target was. */
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
     * Learns that requests wait inside the target, where nobody can put them in order: it runs fewer at once than the
     * limit allows. Long answers hide such a wait in their own length, so that service time alone shows it late.
     *
     * @param running requests that the target ran while others waited there
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
     * @param sample what it took
     * @param limitReached true when the limit was nearly used up while it ran, so that the sample says something about
     *     growth
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
        // The best ages, since a target that became slower for good would otherwise be held down for ever.
        baselineUnitMillis = baselineUnitMillis == 0
                ? smoothedUnitMillis
                : Math.min(baselineUnitMillis * BASELINE_GROWTH_FACTOR, smoothedUnitMillis);
    }

    private void decreaseOnce() {
        // What completes now was admitted before the last step back took effect; it says nothing about the new limit.
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
