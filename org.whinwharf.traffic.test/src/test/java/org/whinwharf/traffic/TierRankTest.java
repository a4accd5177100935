package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.catalog.TierRank;

class TierRankTest {
    /**
     * All organisations have the same rank. In a burst, their summaries must still be served before notes, and notes
     * before checks. With the rank of the organisation alone, requests were served in order of arrival.
     */
    @Test
    void routesOfEquallyRankedOrganisationsKeepTheirOrder() {
        OptionalInt same = OptionalInt.of(1);
        assertThat(TierRank.combine(same, 0), lessThan(TierRank.combine(same, 1)));
        assertThat(TierRank.combine(same, 1), lessThan(TierRank.combine(same, 2)));
    }

    @Test
    void rankOfTheOrganisationGoesBeforeThatOfTheRoute() {
        assertThat(TierRank.combine(OptionalInt.of(0), 5), lessThan(TierRank.combine(OptionalInt.of(1), 0)));
    }

    @Test
    void routeStandsInForAnOrganisationWithoutRank() {
        assertThat(TierRank.combine(OptionalInt.empty(), 0), lessThan(TierRank.combine(OptionalInt.of(1), 0)));
        assertThat(TierRank.combine(OptionalInt.of(1), 2), lessThan(TierRank.combine(OptionalInt.empty(), 2)));
    }

    @Test
    void rankOfTheRouteCanBeReadBack() {
        assertThat(TierRank.routeRank(TierRank.combine(OptionalInt.of(3), 2)), is(2));
    }
}
