package org.whinwharf.traffic.catalog;

import java.util.OptionalInt;

/**
 * Combines the rank of an organisation and the rank of a route into one tier rank.
 *
 * <p>The organisation's rank takes precedence; the route's rank orders requests of organisations with equal rank. If
 * the organisation's rank replaced the route's, a fleet whose organisations all have the same rank would have no tiers
 * at all, and a burst would reject an inspector's summary as often as a check at the bin.
 */
public final class TierRank {
    /** Number of distinct route ranks within one organisation rank; lower ranks are clamped to the lowest. */
    private static final int ROUTE_RANK_COUNT = 16;

    private TierRank() {}

    /**
     * Combines two ranks.
     *
     * @param organisationRank rank of the organisation; if empty, the route's rank takes its place
     * @param routeRank rank of the route
     * @return combined rank; 0 is served first
     */
    public static int combine(OptionalInt organisationRank, int routeRank) {
        int route = Math.max(0, Math.min(ROUTE_RANK_COUNT - 1, routeRank));
        return organisationRank.orElse(route) * ROUTE_RANK_COUNT + route;
    }

    /**
     * Returns whether two combined ranks belong to organisations of the same rank.
     *
     * @param firstRank combined rank
     * @param secondRank combined rank
     * @return true when the ranks differ at most in the rank of the route
     */
    public static boolean sameOrganisationRank(int firstRank, int secondRank) {
        return firstRank / ROUTE_RANK_COUNT == secondRank / ROUTE_RANK_COUNT;
    }

    /**
     * Extracts the rank of the route from a combined rank.
     *
     * @param tierRank combined rank
     * @return rank of the route
     */
    public static int routeRank(int tierRank) {
        return tierRank % ROUTE_RANK_COUNT;
    }
}
