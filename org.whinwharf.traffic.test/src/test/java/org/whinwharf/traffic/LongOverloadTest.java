package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.coordination.ImmutablePlacementRequest;
import org.whinwharf.traffic.placement.ImmutableDemand;

/**
 * Load pattern: for twelve seconds, notes and checks at twice the capacity of six engines with eleven slots each, as in
 * the smaller production fleets when a few organisations send many times their usual load. Notes hold a slot for 1.2 s
 * and are three fifths of the requests, checks hold one for 0.15 s and are two fifths. Both have a latency objective of
 * half a second.
 */
class LongOverloadTest {
    private static final int ENGINES = 6;
    private static final int SLOTS = 11;
    private static final long[] HOLD_MILLIS = {1_200, 150};
    private static final long[] ANSWER_TOKENS = {2_940, 228};
    private static final double NOTE_SHARE = 0.6;
    private static final long OBJECTIVE_MILLIS = 500;
    private static final long OVERLOAD_MILLIS = 12_000;
    /** Time after which the length of the queue and its timeouts have settled. */
    private static final long WARM_UP_MILLIS = 3_000;

    private final CoordinatedFleet fleet = new CoordinatedFleet(ENGINES, SLOTS);
    private final Map<Long, Long> arrivedAtMillis = new HashMap<>();
    private final Map<Long, Long> holdMillis = new HashMap<>();

    @BeforeEach
    void overload() {
        double meanHoldMillis = NOTE_SHARE * HOLD_MILLIS[0] + (1 - NOTE_SHARE) * HOLD_MILLIS[1];
        double perMilli = 2 * ENGINES * SLOTS / meanHoldMillis;
        Random random = new Random(11);
        double nextMillis = 0;
        long id = 0;
        for (long nowMillis = 0; nowMillis < OVERLOAD_MILLIS; nowMillis++) {
            fleet.advance(nowMillis);
            while (nextMillis <= nowMillis) {
                nextMillis += -Math.log(1 - random.nextDouble()) / perMilli;
                requestPlacement(id++, random.nextDouble() < NOTE_SHARE ? 0 : 1);
            }
        }
    }

    private void requestPlacement(long id, int kind) {
        long nowMillis = fleet.nowMillis();
        arrivedAtMillis.put(id, nowMillis);
        holdMillis.put(id, HOLD_MILLIS[kind]);
        fleet.requestPlacement(
                ImmutablePlacementRequest.builder()
                        .requester(CoordinatedFleet.FRONT)
                        .id(id)
                        .demand(ImmutableDemand.copyOf(Fixtures.demand(kind + 1, 600, "s" + id))
                                .withMaxAnswerTokens(ANSWER_TOKENS[kind]))
                        .deadlineAtMillis(nowMillis + 12_000)
                        .queueTimeoutAtMillis(nowMillis + 2 * OBJECTIVE_MILLIS)
                        .onTimeUntilMillis(nowMillis + OBJECTIVE_MILLIS * 4 / 5)
                        .build(),
                HOLD_MILLIS[kind]);
    }

    /**
     * Half of all requests have to be rejected. A caller loses the time it waits for its rejection, so nine in ten must
     * be rejected within half of their objective.
     */
    @Test
    void rejectionsAreFast() {
        assertThat(ninetiethPercentile(waits(fleet.rejectedAtMillis())), lessThanOrEqualTo(OBJECTIVE_MILLIS / 2));
    }

    /** Nine in ten placed requests wait at most half of their objective, which leaves time for the first event. */
    @Test
    void placedRequestsAreOnTime() {
        assertThat(ninetiethPercentile(waits(fleet.grantedAtMillis())), lessThanOrEqualTo(OBJECTIVE_MILLIS / 2));
    }

    /** A short queue must not run empty: no slot may be idle while requests are rejected. */
    @Test
    void slotsStayInUse() {
        long usedMillis = fleet.grantedAtMillis().entrySet().stream()
                .filter(granted -> granted.getValue() >= WARM_UP_MILLIS)
                .mapToLong(granted -> Math.min(holdMillis.get(granted.getKey()), OVERLOAD_MILLIS - granted.getValue()))
                .sum();
        double usable = ENGINES * SLOTS * (double) (OVERLOAD_MILLIS - WARM_UP_MILLIS);
        // Requests that started before the warm-up ended are not counted: about half a second of the nine measured.
        assertThat(usedMillis / usable, greaterThan(0.9));
    }

    private List<Long> waits(Map<Long, Long> atMillis) {
        List<Long> waits = new ArrayList<>();
        atMillis.forEach((id, at) -> {
            if (arrivedAtMillis.get(id) >= WARM_UP_MILLIS) {
                waits.add(at - arrivedAtMillis.get(id));
            }
        });
        Collections.sort(waits);
        return waits;
    }

    private static long ninetiethPercentile(List<Long> sorted) {
        return sorted.get(sorted.size() * 9 / 10);
    }
}
