package org.whinwharf.traffic.placement;

import org.whinwharf.traffic.target.Target;

/** Divides the requests that a cold target may receive from all processes, and returns the share of this process. */
@FunctionalInterface
public interface ColdShares {
    /**
     * Returns the share of this process.
     *
     * @param target cold target
     * @return requests per second; 0 if this process must not send any
     */
    int allowance(Target target);
}
