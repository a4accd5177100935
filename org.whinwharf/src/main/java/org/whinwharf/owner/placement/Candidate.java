package org.whinwharf.owner.placement;

import org.whinwharf.owner.limit.TargetAccount;

/**
 * Target with at least one free slot.
 *
 * @param account account of the target
 * @param freeSlots number of requests that may still be granted to the target
 */
public record Candidate(TargetAccount account, int freeSlots) {
    /**
     * Returns the candidate after one more grant.
     *
     * @return candidate with one free slot less
     */
    public Candidate afterGrant() {
        return new Candidate(account, freeSlots - 1);
    }
}
