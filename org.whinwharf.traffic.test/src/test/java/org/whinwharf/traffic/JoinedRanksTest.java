package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.catalog.TierRank;
import org.whinwharf.traffic.waiting.JoinedRanks;

class JoinedRanksTest {
    private static final double SUMMARY_MILLIS = 1_350;
    private static final double NOTE_MILLIS = 960;
    private static final double CHECK_MILLIS = 120;

    private final JoinedRanks ranks = new JoinedRanks();

    /**
     * In a burst, strict priority rejects four checks in five, although all checks together need a tenth of the
     * capacity of the higher-ranked notes. The rejections free no capacity for another note.
     */
    @Test
    void shortRequestsWaitWithTheRankAbove() {
        ranks.assign(rank(0, 0), SUMMARY_MILLIS, 650);
        ranks.assign(rank(0, 1), NOTE_MILLIS, 250);
        assertThat(ranks.assign(rank(0, 2), CHECK_MILLIS, 330), is(new JoinedRanks.Assignment(rank(0, 1), 250)));
    }

    /** Notes are nearly as long as summaries. In a joined rank, they would take every other slot from the summaries. */
    @Test
    void longRequestsKeepTheirRank() {
        ranks.assign(rank(0, 0), SUMMARY_MILLIS, 650);
        assertThat(ranks.assign(rank(0, 1), NOTE_MILLIS, 250), is(new JoinedRanks.Assignment(rank(0, 1), 250)));
    }

    /**
     * An organisation of a lower rank sends only short requests. They must not join the rank of another organisation,
     * because requests of the higher-ranked organisation would be rejected while lower-ranked ones are served.
     */
    @Test
    void organisationsOfAnotherRankAreNeverJoined() {
        ranks.assign(rank(0, 1), NOTE_MILLIS, 250);
        assertThat(ranks.assign(rank(1, 0), CHECK_MILLIS, 330), is(new JoinedRanks.Assignment(rank(1, 0), 330)));
    }

    /** A single short note among long ones is ranked like the rest of its route. */
    @Test
    void ranksAreComparedByAverageHoldTime() {
        ranks.assign(rank(0, 0), SUMMARY_MILLIS, 650);
        for (int i = 0; i < 100; i++) {
            ranks.assign(rank(0, 1), NOTE_MILLIS, 250);
        }
        assertThat(ranks.assign(rank(0, 1), 20, 250), is(new JoinedRanks.Assignment(rank(0, 1), 250)));
    }

    private static int rank(int organisationRank, int routeRank) {
        return TierRank.combine(OptionalInt.of(organisationRank), routeRank);
    }
}
