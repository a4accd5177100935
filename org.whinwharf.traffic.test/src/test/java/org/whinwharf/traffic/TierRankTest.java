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
        assertThat(TierRank.of(same, 0), lessThan(TierRank.of(same, 1)));
        assertThat(TierRank.of(same, 1), lessThan(TierRank.of(same, 2)));
    }

    @Test
    void rankOfTheOrganisationGoesBeforeThatOfTheRoute() {
        assertThat(TierRank.of(OptionalInt.of(0), 5), lessThan(TierRank.of(OptionalInt.of(1), 0)));
    }

    @Test
    void routeStandsInForAnOrganisationWithoutRank() {
        assertThat(TierRank.of(OptionalInt.empty(), 0), lessThan(TierRank.of(OptionalInt.of(1), 0)));
        assertThat(TierRank.of(OptionalInt.of(1), 2), lessThan(TierRank.of(OptionalInt.empty(), 2)));
    }

    @Test
    void rankOfTheRouteCanBeReadBack() {
        assertThat(TierRank.ofRoute(TierRank.of(OptionalInt.of(3), 2)), is(2));
    }
}
