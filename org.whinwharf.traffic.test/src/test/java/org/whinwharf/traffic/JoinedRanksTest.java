package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
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

    /** Guards against hold times that are compared with the work of half an hour ago: lengths shift there and back. */
    @Test
    void averagesFollowShiftedWorkInBothDirections() {
        double[] meanMillis = {NOTE_MILLIS, NOTE_MILLIS / 3, NOTE_MILLIS};
        int requestsUntilAdapted = 200;
        for (double mean : meanMillis) {
            for (int i = 0; i < requestsUntilAdapted; i++) {
                ranks.assign(rank(0, 1), i % 2 == 0 ? mean / 2 : mean * 3 / 2, 250);
            }
            assertThat(ranks.holdTimeRatio(rank(0, 1), mean), closeTo(1, 0.1));
        }
    }

    /** An operator sees that the work has shifted, and back, but not each variation of it. */
    @Test
    void lastingChangesAreReportedOnce() {
        List<Long> reported = new ArrayList<>();
        JoinedRanks observed = new JoinedRanks(
                (tierRank, previousMillis, holdMillis) -> reported.add(Math.round(holdMillis / NOTE_MILLIS)));
        for (double mean : new double[] {NOTE_MILLIS, NOTE_MILLIS, 3 * NOTE_MILLIS, NOTE_MILLIS}) {
            for (int i = 0; i < 300; i++) {
                observed.assign(rank(0, 1), i % 2 == 0 ? mean * 0.9 : mean * 1.1, 250);
            }
        }
        assertThat(reported.get(0), is(1L));
        assertThat(reported, hasItem(3L));
        assertThat(reported.get(reported.size() - 1), is(1L));
        assertThat(reported.size(), lessThanOrEqualTo(8));
    }

    private static int rank(int organisationRank, int routeRank) {
        return TierRank.combine(OptionalInt.of(organisationRank), routeRank);
    }
}
