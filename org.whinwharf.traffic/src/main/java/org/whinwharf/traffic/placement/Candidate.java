package org.whinwharf.traffic.placement;

import org.whinwharf.traffic.target.TargetState;

/**
 * A target selected for a request, with the data that the selection was based on.
 *
 * @param state state of the target
 * @param uncachedTokens prompt tokens of the request that the target has not cached
 * @param tokensAhead prompt tokens that the target reads before the first event, including those of earlier requests
 * @param occupancy ratio of requests in flight to slots at the time of selection
 * @param firstEventMillis predicted time to the first event
 * @param scoreMillis score of the target, lowest is best: the predicted time to the first event plus weighted times
 *     after it
 * @param coldAllowance requests per second that this process may send to the cold target; 0 if it is warm
 * @param rateCounted whether the request is counted against the rate that the target states
 */
public record Candidate(
        TargetState state,
        long uncachedTokens,
        long tokensAhead,
        double occupancy,
        double firstEventMillis,
        double scoreMillis,
        int coldAllowance,
        boolean rateCounted) {
    /**
     * Records that the request is dispatched to the target.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordDispatch(long nowMillis) {
        state.health().recordDispatch(nowMillis);
        if (coldAllowance > 0) {
            state.coldStartLimiter().recordDispatch(nowMillis);
        }
    }
}
