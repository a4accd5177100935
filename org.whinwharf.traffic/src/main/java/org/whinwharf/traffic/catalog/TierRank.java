package org.whinwharf.traffic.catalog;

import java.util.OptionalInt;

/**
 * Joins the rank of an organisation and that of a route into one.
 *
 * <p>The organisation's goes first, and among organisations of one rank the route's decides. If the organisation's rank
 * simply replaced the route's, a fleet whose organisations all have the same rank would know no tiers at all, and in a
 * burst an inspector's summary would be refused as often as a check at the bin.
 */
public final class TierRank {
    /** Ranks that routes may have below one rank of organisations; more are taken together as the lowest. */
    private static final int ROUTE_RANK_COUNT = 16;

    private TierRank() {}

    /**
     * Joins two ranks.
     *
     * @param organisationRank rank of the organisation; without one the route's stands in for it
     * @param routeRank rank of the route
     * @return joint rank; 0 is served first
     */
    public static int combine(OptionalInt organisationRank, int routeRank) {
        int route = Math.max(0, Math.min(ROUTE_RANK_COUNT - 1, routeRank));
        return organisationRank.orElse(route) * ROUTE_RANK_COUNT + route;
    }

    /**
     * Tells whether two joint ranks differ by the rank of the route only.
     *
     * @param oneRank joint rank
     * @param otherRank joint rank
     * @return true when their organisations have the same rank
     */
    public static boolean sameOrganisationRank(int oneRank, int otherRank) {
        return oneRank / ROUTE_RANK_COUNT == otherRank / ROUTE_RANK_COUNT;
    }

    /**
     * Returns the rank of the route in a joint rank.
     *
     * @param tierRank joint rank
     * @return rank of the route
     */
    public static int routeRank(int tierRank) {
        return tierRank % ROUTE_RANK_COUNT;
    }
}
