package org.whinwharf.traffic.target;

/**
 * Speed of one engine, learned from its answers to this process.
 *
 * <p>Engines of one service differ in speed by a factor of five and may slow down at any time. If requests were placed
 * by their number alone, they would wait at slow engines. A first event that arrives later than predicted reveals a
 * slow engine.
 */
public final class TargetSpeed {
    /** Prompt tokens prefilled per millisecond, assumed before any measurement: a current engine's published figure. */
    public static final double ASSUMED_PREFILL_TOKENS_PER_MILLI = 60;
    /** Weight of the newest measurement: a change of speed is detected after about five requests. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Upper limit of the slowdown factor, so that one outlier does not exclude a target. */
    private static final double MAX_SLOWDOWN_FACTOR = 12;

    /** Lower limit of the slowdown factor, so that one outlier does not flood a target. */
    private static final double MIN_SLOWDOWN_FACTOR = 0.3;

    /**
     * Time per token of an answer's expected length, assumed before any measurement: a current engine's published step.
     */
    private static final double ASSUMED_MILLIS_PER_ANSWER_TOKEN = 3.3;

    /**
     * First events of a target after which it adds to the baseline of its service: by then its slowness is known, and a
     * baseline that takes a slow target for the usual one would make the others look slow too.
     */
    private static final int FIRST_EVENTS_BEFORE_BASELINE = 5;

    private final SpeedBaseline baseline;
    private int firstEvents;
    private double slowdownFactor = 1;
    private double millisPerAnswerToken = ASSUMED_MILLIS_PER_ANSWER_TOKEN;

    /** Creates the speed of a target that is compared with the assumed engine. */
    public TargetSpeed() {
        this(new SpeedBaseline(false));
    }

    /**
     * Creates the speed of a target that is compared with the others of its service.
     *
     * @param baseline baseline of the service
     */
    public TargetSpeed(SpeedBaseline baseline) {
        this.baseline = baseline;
    }

    /**
     * Estimates the time to the first event of a request that need not wait for a slot.
     *
     * @param uncachedTokens prompt tokens that the target has to prefill, including those of requests ahead
     * @param occupancy requests at the target divided by its slots
     * @return time in milliseconds
     */
    public double estimatedFirstEventMillis(long uncachedTokens, double occupancy) {
        return slowdownFactor * baseline.firstEventMillis(uncachedTokens, occupancy);
    }

    /**
     * Records a first event.
     *
     * @param uncachedTokens tokens on which the estimate was based
     * @param occupancy occupancy on which the estimate was based
     * @param tookMillis time in milliseconds from the dispatch to the first event
     */
    public void recordFirstEvent(long uncachedTokens, double occupancy, long tookMillis) {
        double measuredFactor = (tookMillis + 1) / baseline.firstEventMillis(uncachedTokens, occupancy);
        if (firstEvents >= FIRST_EVENTS_BEFORE_BASELINE) {
            baseline.record(uncachedTokens, occupancy, (tookMillis + 1) / slowdownFactor);
        }
        firstEvents++;
        double clampedFactor = Math.max(MIN_SLOWDOWN_FACTOR, Math.min(MAX_SLOWDOWN_FACTOR, measuredFactor));
        slowdownFactor += (clampedFactor - slowdownFactor) * SMOOTHING_FACTOR;
    }

    /**
     * Estimates the time from the first event of an answer to its last.
     *
     * @param answerTokens expected length of the answer in tokens
     * @return time in milliseconds
     */
    public double estimatedAnswerMillis(long answerTokens) {
        return answerTokens * millisPerAnswerToken;
    }

    /**
     * Estimates how long a request occupies a slot of an idle engine of the assumed speed.
     *
     * @param promptTokens length of the prompt in tokens
     * @param answerTokens expected length of the answer in tokens
     * @return time in milliseconds
     */
    public static double assumedSlotMillis(long promptTokens, long answerTokens) {
        return promptTokens / ASSUMED_PREFILL_TOKENS_PER_MILLI + answerTokens * ASSUMED_MILLIS_PER_ANSWER_TOKEN;
    }

    /**
     * Records a complete answer.
     *
     * @param answerTokens expected length of the answer in tokens, above 0
     * @param tookMillis time in milliseconds from its first event to its last
     */
    public void recordAnswer(long answerTokens, long tookMillis) {
        double measuredMillis =
                Math.min(tookMillis / (double) answerTokens, ASSUMED_MILLIS_PER_ANSWER_TOKEN * MAX_SLOWDOWN_FACTOR);
        millisPerAnswerToken += (measuredMillis - millisPerAnswerToken) * SMOOTHING_FACTOR;
    }

    /**
     * Returns the slowdown factor of the target.
     *
     * @return 1 for an engine as fast as the baseline of its service, more for a slower one
     */
    public double slowdownFactor() {
        return slowdownFactor;
    }
}
