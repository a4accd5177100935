package org.whinwharf.owner.pledge;

/**
 * Part of the voters of a slice that pledge to one owner.
 *
 * <p>The parts of several owners of one slice never add up to more than a target's limit, since each voter counts for
 * one owner at a time: a minority rounds down, and the majority takes the limit less what all others together could
 * take.
 *
 * @param pledged voters that pledge to the owner
 * @param voters all voters
 */
public record Share(int pledged, int voters) {
    /** Share of an owner that nobody pledges to. */
    public static final Share NONE = new Share(0, 1);

    /**
     * Returns the part of a limit that the owner may use.
     *
     * @param limit requests that the target bears
     * @param rule how parts are made
     * @return requests that the owner may have in flight there
     */
    public int usableSlots(int limit, ShareRule rule) {
        return rule.usableSlots(limit, this);
    }

    boolean isMajority() {
        return 2 * pledged > voters;
    }
}
