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
     * In a burst a strict order of routes turns away four checks in five, though all of them together need a tenth of
     * what the notes above them need. A driver at the bin gets no answer, and no note is gained by it.
     */
    @Test
    void shortRequestsWaitWithTheRankAbove() {
        ranks.assign(rank(0, 0), SUMMARY_MILLIS, 650);
        ranks.assign(rank(0, 1), NOTE_MILLIS, 250);
        assertThat(ranks.assign(rank(0, 2), CHECK_MILLIS, 330), is(new JoinedRanks.Assignment(rank(0, 1), 250)));
    }

    /** Notes are nearly as long as summaries. Joined with them, they would take every other slot from an inspector. */
    @Test
    void longRequestsKeepTheirRank() {
        ranks.assign(rank(0, 0), SUMMARY_MILLIS, 650);
        assertThat(ranks.assign(rank(0, 1), NOTE_MILLIS, 250), is(new JoinedRanks.Assignment(rank(0, 1), 250)));
    }

    /**
     * An organisation of a lower rank sends short requests only. They must not go with those of a higher one, since its
     * requests would then be refused while lower ones are served.
     */
    @Test
    void organisationsOfAnotherRankAreNeverJoined() {
        ranks.assign(rank(0, 1), NOTE_MILLIS, 250);
        assertThat(ranks.assign(rank(1, 0), CHECK_MILLIS, 330), is(new JoinedRanks.Assignment(rank(1, 0), 330)));
    }

    /** One short note among long ones is no reason to treat it otherwise than its route. */
    @Test
    void ranksAreJudgedByTheirAverageAndNotByOneRequest() {
        ranks.assign(rank(0, 0), SUMMARY_MILLIS, 650);
        for (int i = 0; i < 100; i++) {
            ranks.assign(rank(0, 1), NOTE_MILLIS, 250);
        }
        assertThat(ranks.assign(rank(0, 1), 20, 250), is(new JoinedRanks.Assignment(rank(0, 1), 250)));
    }

    private static int rank(int organisationRank, int routeRank) {
        return TierRank.of(OptionalInt.of(organisationRank), routeRank);
    }
}
