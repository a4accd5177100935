package org.whinwharf.owner.placement;

import org.whinwharf.owner.limit.CompletionSample;

/** Learned speed of one target. */
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
     * Learns from a completed request.
     *
     * @param sample what it took
     * @param nowMillis time now
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
     * Tells whether anything was learned.
     *
     * @return false before the first completed request
     */
    public boolean hasSamples() {
        return sampleCount > 0;
    }

    /**
     * Tells whether something was learned lately.
     *
     * <p>Requests are refused because a target is too slow for them. Were an old speed good enough for that, a target
     * that was slow once would be sent nothing any more and could never show that it is fast again.
     *
     * @param nowMillis time now
     * @return true when a request completed in the last ten seconds
     */
    public boolean hasRecentSample(long nowMillis) {
        return hasSamples() && nowMillis - lastSampleMillis <= MAX_SAMPLE_AGE_MILLIS;
    }

    /**
     * Predicts how long a request takes at this target.
     *
     * @param prefillTokens prompt tokens that the cache lacks
     * @param answerTokens tokens of the answer
     * @return milliseconds; 0 when nothing was learned
     */
    public double predictMillis(int prefillTokens, int answerTokens) {
        return baseMillis + prefillMillis(prefillTokens) + millisPerToken * answerTokens;
    }

    /**
     * Predicts how long the prefill takes.
     *
     * @param prefillTokens prompt tokens that the cache lacks
     * @return milliseconds
     */
    public double prefillMillis(int prefillTokens) {
        return millisPerPrefillToken * prefillTokens;
    }

    /**
     * Returns the decoding speed of one stream.
     *
     * @return tokens a second; 0 when nothing was learned
     */
    public double tokensPerSecond() {
        return millisPerToken <= 0 ? 0 : 1000 / millisPerToken;
    }

    private static double smooth(double old, double sample) {
        return old == 0 ? sample : old + SMOOTHING_FACTOR * (sample - old);
    }
}
