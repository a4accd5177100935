package org.whinwharf.owner.placement;

import org.whinwharf.owner.limit.CompletionSample;

/** Speed of one target, learned from completed requests. */
public final class TargetSpeed {
    private static final double SMOOTHING_FACTOR = 0.2;
    private static final long MAX_SAMPLE_AGE_MILLIS = 10_000;
    private static final int MIN_ANSWER_TOKENS = 2;
    private static final int MIN_PREFILL_TOKENS = 8;

    private double millisPerToken;
    private double millisPerPrefillToken;
    private double baseMillis;
    private int sampleCount;
    private long lastSampleMillis;

    /**
     * Adds the sample of a completed request.
     *
     * @param sample measured times and token counts
     * @param nowMillis current time
     */
    public void addSample(CompletionSample sample, long nowMillis) {
        sampleCount++;
        lastSampleMillis = nowMillis;
        if (sample.answerTokens() < MIN_ANSWER_TOKENS) {
            baseMillis = smooth(baseMillis, sample.totalMillis());
            return;
        }
        long decodeMillis = Math.max(0, sample.totalMillis() - sample.firstTokenMillis());
        millisPerToken = smooth(millisPerToken, (double) decodeMillis / (sample.answerTokens() - 1));
        if (sample.prefillTokens() >= MIN_PREFILL_TOKENS) {
            millisPerPrefillToken =
                    smooth(millisPerPrefillToken, (double) sample.firstTokenMillis() / sample.prefillTokens());
        } else {
            baseMillis = smooth(baseMillis, sample.firstTokenMillis());
        }
    }

    /**
     * Returns whether any sample was added.
     *
     * @return false before the first completed request
     */
    public boolean hasSamples() {
        return sampleCount > 0;
    }

    /**
     * Returns whether a sample was added recently.
     *
     * <p>Requests are refused when a target is too slow for their deadlines. If old samples counted for that, a target
     * that was slow once would receive no more requests and could never show that it is fast again.
     *
     * @param nowMillis current time
     * @return true when a request completed in the last ten seconds
     */
    public boolean hasRecentSample(long nowMillis) {
        return hasSamples() && nowMillis - lastSampleMillis <= MAX_SAMPLE_AGE_MILLIS;
    }

    /**
     * Predicts the duration of a request at this target.
     *
     * @param prefillTokens prompt tokens that are not in the target's cache
     * @param answerTokens tokens of the answer
     * @return milliseconds; 0 when there is no sample
     */
    public double predictMillis(int prefillTokens, int answerTokens) {
        return baseMillis + prefillMillis(prefillTokens) + millisPerToken * answerTokens;
    }

    /**
     * Predicts the duration of the prefill.
     *
     * @param prefillTokens prompt tokens that are not in the target's cache
     * @return milliseconds
     */
    public double prefillMillis(int prefillTokens) {
        return millisPerPrefillToken * prefillTokens;
    }

    /**
     * Returns the decoding rate of one request.
     *
     * @return tokens per second; 0 when there is no sample
     */
    public double tokensPerSecond() {
        return millisPerToken <= 0 ? 0 : 1000 / millisPerToken;
    }

    private static double smooth(double old, double sample) {
        return old == 0 ? sample : old + SMOOTHING_FACTOR * (sample - old);
    }
}
