package org.whinwharf.traffic.placement;

import org.whinwharf.traffic.target.TargetState;

/**
 * A target chosen for a request, with what the choice was based on.
 *
 * @param state the target
 * @param uncachedTokens prompt tokens it has to read
 * @param occupancy its requests over its slots when chosen
 * @param predictedMillis predicted time to the first event
 * @param coldAllowance requests a second this process may send it; 0 when it is warm
 */
public record Candidate(
        TargetState state, long uncachedTokens, double occupancy, double predictedMillis, int coldAllowance) {}
