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
    private static final double SMOOTHING = 0.3;
    private static final double STEP_BACK = 0.75;
    private static final double HALF = 0.5;
    private static final double BEST_AGEING = 1.002;
    private static final double COLD_STEP = 2.0;
    private static final int COLD_SAMPLES = 2;
    private static final int BASE_WORK = 4;
    private static final double PREFILL_WORK = 1.0 / 16;

    private Limits limits;
    private int value;
    private int slowStartUntil;
    private int credit;
    private int sinceStepBack;
    private int suddenlySlow;
    private double smoothedMillis;
    private double bestMillis;

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
            slowStartUntil = Math.max(value, Math.min(slowStartUntil, limits.getMost()));
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
        return value < slowStartUntil;
    }

    /** Falls back to the cold value and forgets how fast the target was. */
    public void resetToCold() {
        value = Math.min(limits.getCold(), limits.getMost());
        slowStartUntil = limits.getMost();
        credit = 0;
        sinceStepBack = 0;
        suddenlySlow = 0;
        smoothedMillis = 0;
        bestMillis = 0;
    }

    /** Halves the limit after the target refused a request. */
    public void onRefused() {
        shrink(HALF);
    }

    /**
     * Learns that requests wait inside the target, where nobody can put them in order: it runs fewer at once than the
     * limit allows. Long answers hide such a wait in their own length, so that service time alone shows it late.
     *
     * @param running requests that the target ran while others waited there
     */
    public void onQueued(int running) {
        int bears = Math.max(Math.min(limits.getCold(), limits.getMost()), running);
        if (value > bears) {
            value = bears;
            slowStartUntil = value;
            credit = 0;
            sinceStepBack = 0;
        }
    }

    /**
     * Learns from a completed request.
     *
     * @param sample what it took
     * @param wasFull true when the limit was nearly used up while it ran, so that the sample says something about
     *     growth
     */
    public void onCompleted(CompletionSample sample, boolean wasFull) {
        double unitMillis = unitMillis(sample);
        if (isSuddenlySlow(unitMillis)) {
            suddenlySlow++;
            if (suddenlySlow >= COLD_SAMPLES) {
                resetToCold();
            }
            return;
        }
        suddenlySlow = 0;
        smooth(unitMillis);
        sinceStepBack++;
        if (smoothedMillis > limits.getSlowFactor() * bestMillis) {
            stepBack();
        } else if (wasFull) {
            grow();
        }
    }

    private static double unitMillis(CompletionSample sample) {
        double work = BASE_WORK + sample.answerTokens() + sample.prefillTokens() * PREFILL_WORK;
        return Math.max(1, sample.totalMillis()) / work;
    }

    private boolean isSuddenlySlow(double unitMillis) {
        return value > limits.getCold()
                && smoothedMillis > 0
                && unitMillis > COLD_STEP * limits.getSlowFactor() * smoothedMillis;
    }

    private void smooth(double unitMillis) {
        smoothedMillis = smoothedMillis == 0 ? unitMillis : smoothedMillis + SMOOTHING * (unitMillis - smoothedMillis);
        // The best ages, since a target that became slower for good would otherwise be held down for ever.
        bestMillis = bestMillis == 0 ? smoothedMillis : Math.min(bestMillis * BEST_AGEING, smoothedMillis);
    }

    private void stepBack() {
        // What completes now was admitted before the last step back took effect; it says nothing about the new limit.
        if (sinceStepBack > value) {
            shrink(STEP_BACK);
        }
    }

    private void shrink(double factor) {
        value = Math.max(Math.min(limits.getCold(), limits.getMost()), (int) (value * factor));
        slowStartUntil = value;
        credit = 0;
        sinceStepBack = 0;
    }

    private void grow() {
        if (value >= limits.getMost()) {
            return;
        }
        credit++;
        if (value < slowStartUntil || credit >= value) {
            value++;
            credit = 0;
        }
    }
}
