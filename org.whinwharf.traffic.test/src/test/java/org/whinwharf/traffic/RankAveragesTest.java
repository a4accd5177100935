package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.waiting.HoldTimeListener;
import org.whinwharf.traffic.waiting.RankAverages;

class RankAveragesTest {
    private static final int RANK = 1;
    private static final double NOTE_MILLIS = 960;

    /** Guards against hold times that are compared with the work of half an hour ago: lengths shift there and back. */
    @Test
    void averagesFollowShiftedWorkInBothDirections() {
        RankAverages ranks = new RankAverages(HoldTimeListener.NONE);
        double[] meanMillis = {NOTE_MILLIS, NOTE_MILLIS / 3, NOTE_MILLIS};
        int requestsUntilAdapted = 200;
        for (double mean : meanMillis) {
            for (int i = 0; i < requestsUntilAdapted; i++) {
                ranks.add(RANK, i % 2 == 0 ? mean / 2 : mean * 3 / 2, 250);
            }
            assertThat(ranks.holdTimeRatio(RANK, mean), closeTo(1, 0.1));
        }
    }

    /** An operator sees that the work has shifted, and back, but not each variation of it. */
    @Test
    void lastingChangesAreReportedOnce() {
        List<Long> reported = new ArrayList<>();
        RankAverages observed = new RankAverages(
                (tierRank, previousMillis, holdMillis) -> reported.add(Math.round(holdMillis / NOTE_MILLIS)));
        for (double mean : new double[] {NOTE_MILLIS, NOTE_MILLIS, 3 * NOTE_MILLIS, NOTE_MILLIS}) {
            for (int i = 0; i < 300; i++) {
                observed.add(RANK, i % 2 == 0 ? mean * 0.9 : mean * 1.1, 250);
            }
        }
        assertThat(reported.get(0), is(1L));
        assertThat(reported, hasItem(3L));
        assertThat(reported.get(reported.size() - 1), is(1L));
        assertThat(reported.size(), lessThanOrEqualTo(8));
    }
}
