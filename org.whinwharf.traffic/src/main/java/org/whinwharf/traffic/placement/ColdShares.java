package org.whinwharf.traffic.placement;

import org.whinwharf.traffic.target.Target;

/** What this process may send to cold targets, out of what all processes together may. */
@FunctionalInterface
public interface ColdShares {
    /**
     * Returns this process's share.
     *
     * @param target a cold target
     * @return requests a second; 0 when this process must send nothing
     */
    int allowance(Target target);
}
