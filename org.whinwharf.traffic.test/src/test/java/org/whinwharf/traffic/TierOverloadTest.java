package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.coordination.ImmutablePlacementRequest;
import org.whinwharf.traffic.placement.ImmutableDemand;

/**
 * Load pattern: a burst of four seconds at one and a half times the capacity of sixty-three engines with six slots
 * each, in the three tiers of the larger of the production fleets: summaries that hold a slot for 1.4 s, notes for 0.95
 * s and checks for 0.15 s.
 */
class TierOverloadTest {
    private static final int ENGINES = 63;
    private static final int SLOTS = 6;
    private static final double[] PER_SECOND = {158, 200, 242};
    private static final long[] HOLD_MILLIS = {1_400, 950, 150};
    private static final long[] QUEUE_TIMEOUT_MILLIS = {1_600, 600, 500};
    private static final long BURST_MILLIS = 4_000;

    private final int[] arrived = new int[3];
    private final Map<Long, Integer> ranks = new HashMap<>();
    private final CoordinatedFleet fleet = new CoordinatedFleet(ENGINES, SLOTS);
    private long[] answerTokens = new long[3];

    /**
     * The answers of checks are a tenth as long as those of notes. Strict priority rejects nearly all checks, although
     * seven rejected checks free the capacity for only one note.
     */
    @Test
    void shortRequestsAreRejectedNoMoreOftenThanTheRankAbove() {
        answerTokens = new long[] {378, 288, 27};
        simulateBurst();
        assertThat(placedShare(0), greaterThan(0.99));
        assertThat(placedShare(1), greaterThan(0.7));
        assertThat(placedShare(2), closeTo(placedShare(1), 0.1));
    }

    /** The lower a tier, the larger its rejected share. A lower tier must not be served while a higher one is shed. */
    @Test
    void lowerTiersAreRejectedFirst() {
        simulateBurst();
        assertThat(placedShare(0), greaterThan(0.99));
        assertThat(placedShare(1), greaterThan(placedShare(2)));
        assertThat(placedShare(2), lessThan(0.6));
    }

    private double placedShare(int rank) {
        long placed = fleet.grantedAtMillis().keySet().stream()
                .filter(id -> ranks.get(id) == rank)
                .count();
        return placed / (double) arrived[rank];
    }

    private void simulateBurst() {
        Random random = new Random(3);
        double total = PER_SECOND[0] + PER_SECOND[1] + PER_SECOND[2];
        double nextMillis = 0;
        long id = 0;
        for (long nowMillis = 0; nowMillis < BURST_MILLIS; nowMillis++) {
            fleet.advance(nowMillis);
            while (nextMillis <= nowMillis) {
                nextMillis += -Math.log(1 - random.nextDouble()) * 1_000 / total;
                double point = random.nextDouble() * total;
                int rank = point < PER_SECOND[0] ? 0 : point < PER_SECOND[0] + PER_SECOND[1] ? 1 : 2;
                requestPlacement(id++, rank);
            }
        }
    }

    private void requestPlacement(long id, int rank) {
        arrived[rank]++;
        ranks.put(id, rank);
        fleet.requestPlacement(
                ImmutablePlacementRequest.builder()
                        .requester(CoordinatedFleet.FRONT)
                        .id(id)
                        .demand(ImmutableDemand.copyOf(Fixtures.demand(rank, 600, "s" + id))
                                .withMaxAnswerTokens(answerTokens[rank]))
                        .deadlineAtMillis(fleet.nowMillis() + 10_000)
                        .queueTimeoutAtMillis(fleet.nowMillis() + QUEUE_TIMEOUT_MILLIS[rank])
                        .onTimeUntilMillis(fleet.nowMillis() + QUEUE_TIMEOUT_MILLIS[rank] / 2)
                        .build(),
                HOLD_MILLIS[rank]);
    }
}
