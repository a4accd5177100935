package org.whinwharf.traffic.placement;

import org.whinwharf.traffic.target.TargetState;

/**
 * A target chosen for a request, with what the choice was based on.
 *
 * @param state the target
 * @param uncachedTokens prompt tokens it has to read
 * @param tokensAhead prompt tokens it reads until the first event, those of requests ahead included
 * @param occupancy its requests over its slots when chosen
 * @param firstEventMillis predicted time to the first event
 * @param scoreMillis what the choice was made by: the predicted time, and weights for what follows the first event
 * @param coldAllowance requests a second this process may send it; 0 when it is warm
 */
public record Candidate(
        TargetState state,
        long uncachedTokens,
        long tokensAhead,
        double occupancy,
        double firstEventMillis,
        double scoreMillis,
        int coldAllowance) {
    /**
     * Notes that the request is sent.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void recordDispatch(long nowMillis) {
        state.health().sent(nowMillis);
        if (coldAllowance > 0) {
            state.coldGate().sent(nowMillis);
        }
    }
}
