package org.whinwharf.owner.pledge;

/**
 * Number of a slice's voters that pledge to one owner.
 *
 * <p>The shares of several owners of a slice never add up to more than a target's limit, because each voter pledges to
 * one owner at a time. The share of a minority is rounded down; the majority gets the limit less the shares that all
 * others together could use.
 *
 * @param pledged number of voters that pledge to the owner
 * @param voters number of all voters
 */
public record Share(int pledged, int voters) {
    /** Share of an owner without any pledge. */
    public static final Share NONE = new Share(0, 1);

    /**
     * Returns the number of slots of a limit that the owner may use.
     *
     * @param limit concurrency limit of the target
     * @param rule rule that converts the share into a number of slots
     * @return maximum number of requests that the owner may have in flight at the target
     */
    public int usableSlots(int limit, ShareRule rule) {
        return rule.usableSlots(limit, this);
    }

    boolean isMajority() {
        return 2 * pledged > voters;
    }
}
