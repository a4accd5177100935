package org.whinwharf.traffic.target;

/**
 * Learned speed of one engine, as seen from this process.
 *
 * <p>Engines of one service differ by a factor of five and slow down at any moment. A request that is sent by counts
 * alone waits at the slow ones; first events that come later than predicted show it.
 */
public final class TargetSpeed {
    /** Prompt tokens read in a millisecond before any reading: a current engine's published figure. */
    public static final double ASSUMED_PREFILL_TOKENS_PER_MILLI = 60;
    /** Time to a first event beside the prompt, before any reading. */
    private static final double ASSUMED_OVERHEAD_MILLIS = 20;
    /** Weight of the newest reading: a change of speed shows after about five requests. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Bounds of the factor, so that one odd reading neither bans a target nor floods it. */
    private static final double MAX_SLOWDOWN_FACTOR = 12;

    private static final double MIN_SLOWDOWN_FACTOR = 0.3;

    /** Time for a token of an answer's bound before any reading: a current engine's published step. */
    private static final double ASSUMED_MILLIS_PER_ANSWER_TOKEN = 3.3;

    private double slowdownFactor = 1;
    private double millisPerAnswerToken = ASSUMED_MILLIS_PER_ANSWER_TOKEN;

    /**
     * Predicts the time to the first event of a request that need not wait for a slot.
     *
     * @param uncachedTokens prompt tokens that the target has to read, those of requests ahead included
     * @param occupancy requests at the target over its slots
     * @return time in milliseconds
     */
    public double estimatedFirstEventMillis(long uncachedTokens, double occupancy) {
        return slowdownFactor * baselineMillis(uncachedTokens, occupancy);
    }

    /**
     * Notes a first event.
     *
     * @param uncachedTokens tokens that the prediction was made with
     * @param occupancy occupancy that the prediction was made with
     * @param tookMillis time from sending to the first event
     */
    public void recordFirstEvent(long uncachedTokens, double occupancy, long tookMillis) {
        double seen = (tookMillis + 1) / baselineMillis(uncachedTokens, occupancy);
        double bounded = Math.max(MIN_SLOWDOWN_FACTOR, Math.min(MAX_SLOWDOWN_FACTOR, seen));
        slowdownFactor += (bounded - slowdownFactor) * SMOOTHING_FACTOR;
    }

    /**
     * Predicts the time from the first event of an answer to its last.
     *
     * @param answerTokens bound on the answer's length
     * @return time in milliseconds
     */
    public double estimatedAnswerMillis(long answerTokens) {
        return answerTokens * millisPerAnswerToken;
    }

    /**
     * Estimates for how long a request holds a slot of a current engine at rest.
     *
     * @param promptTokens length of its prompt
     * @param answerTokens bound on the answer's length
     * @return time in milliseconds
     */
    public static double assumedSlotMillis(long promptTokens, long answerTokens) {
        return promptTokens / ASSUMED_PREFILL_TOKENS_PER_MILLI + answerTokens * ASSUMED_MILLIS_PER_ANSWER_TOKEN;
    }

    /**
     * Notes a whole answer.
     *
     * @param answerTokens bound on its length, above 0
     * @param tookMillis time from its first event to its last
     */
    public void recordAnswer(long answerTokens, long tookMillis) {
        double seen =
                Math.min(tookMillis / (double) answerTokens, ASSUMED_MILLIS_PER_ANSWER_TOKEN * MAX_SLOWDOWN_FACTOR);
        millisPerAnswerToken += (seen - millisPerAnswerToken) * SMOOTHING_FACTOR;
    }

    /**
     * Returns how slow the target is.
     *
     * @return 1 for an engine of the assumed speed, more for a slower one
     */
    public double slowdownFactor() {
        return slowdownFactor;
    }

    private static double baselineMillis(long uncachedTokens, double occupancy) {
        return (ASSUMED_OVERHEAD_MILLIS + uncachedTokens / ASSUMED_PREFILL_TOKENS_PER_MILLI) * (1 + occupancy);
    }
}
