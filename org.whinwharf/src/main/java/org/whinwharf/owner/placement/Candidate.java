package org.whinwharf.owner.placement;

import org.whinwharf.owner.limit.TargetAccount;

/**
 * Target with a free slot.
 *
 * @param account what is known of it
 * @param freeSlots requests that may still be granted there
 */
public record Candidate(TargetAccount account, int freeSlots) {
    /**
     * Returns the candidate after one more grant.
     *
     * @return candidate with less room
     */
    public Candidate afterGrant() {
        return new Candidate(account, freeSlots - 1);
    }
}
