package org.whinwharf.owner.pledge;

/** Rules that convert pledges into a part of a target's limit; docs/measurements/ownership.md compares them. */
public enum ShareRule {
    /** A majority uses the whole limit, any other owner nothing. */
    MAJORITY {
        @Override
        int usableSlots(int limit, Share share) {
            return share.isMajority() ? limit : 0;
        }
    },
    /** Each owner uses its part, rounded down. */
    PROPORTIONAL {
        @Override
        int usableSlots(int limit, Share share) {
            return roundedDownPart(limit, share.pledged(), share.voters());
        }
    },
    /**
     * A minority uses its part, rounded down; a majority uses the slots that all others together could not use. Thus a
     * target with a limit of one request is used by the majority instead of by no owner.
     */
    REST_TO_MAJORITY {
        @Override
        int usableSlots(int limit, Share share) {
            return share.isMajority()
                    ? limit - roundedDownPart(limit, share.voters() - share.pledged(), share.voters())
                    : roundedDownPart(limit, share.pledged(), share.voters());
        }
    };

    abstract int usableSlots(int limit, Share share);

    private static int roundedDownPart(int limit, int count, int total) {
        return (int) ((long) limit * count / total);
    }
}
