package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.coordination.Ask;
import org.whinwharf.traffic.coordination.Coordinator;
import org.whinwharf.traffic.coordination.ImmutableAsk;
import org.whinwharf.traffic.coordination.Outbox;
import org.whinwharf.traffic.coordination.RefusalGrounds;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.coordination.TargetReports;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.placement.Placement;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.target.PromptCache;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Load pattern: a burst of four seconds at one and a half times what sixty-three engines of six slots bear, in three
 * tiers as the larger of the fleets in use has them: summaries that hold a slot for 1.4 s, notes for 0.95 s, checks for
 * 0.15 s.
 */
class TierOverloadTest {
    private static final int ENGINES = 63;
    private static final int SLOTS = 6;
    private static final double[] PER_SECOND = {158, 200, 242};
    private static final long[] HOLD_MILLIS = {1_400, 950, 150};
    private static final long[] PATIENCE_MILLIS = {1_600, 600, 500};
    private static final long BURST_MILLIS = 4_000;

    private final Map<String, TargetState> targets = new LinkedHashMap<>();
    private final PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private final int[] arrived = new int[3];
    private final int[] placed = new int[3];
    private final Map<Long, Integer> ranks = new HashMap<>();
    private final Map<Long, String> engineOf = new HashMap<>();
    private long[] answerTokens = new long[3];
    private long nowMillis;
    private Coordinator coordinator;

    private record End(long atMillis, long id) {}

    /**
     * The checks have answers of a tenth of the notes' length here. In a strict order of routes they are refused nearly
     * all, which frees slots for one note in seven of them.
     */
    @Test
    void shortRequestsAreTurnedAwayNoMoreOftenThanTheRankAbove() {
        answerTokens = new long[] {378, 288, 27};
        burst();
        assertThat(share(0), greaterThan(0.99));
        assertThat(share(1), greaterThan(0.7));
        assertThat(share(2), closeTo(share(1), 0.1));
    }

    /** The lower a tier, the more of it is turned away; a lower tier must not be served while a higher one is shed. */
    @Test
    void lowerTiersAreTurnedAwayFirst() {
        burst();
        assertThat(share(0), greaterThan(0.99));
        assertThat(share(1), greaterThan(share(2)));
        assertThat(share(2), lessThan(0.6));
    }

    private double share(int rank) {
        return placed[rank] / (double) arrived[rank];
    }

    private void burst() {
        for (int i = 0; i < ENGINES; i++) {
            targets.put("engine-" + i, new TargetState(Fixtures.target("engine-" + i, SLOTS)));
        }
        PromptCache prompts = new PromptCache();
        Decisions decisions = new Decisions();
        coordinator = new Coordinator.Builder()
                .ownName("front-0")
                .placement(new Placement(prompts, target -> 0, () -> 0), prompts)
                .targets(service -> targets.values(), Set::of)
                .quotas(new QuotaLedger(true))
                .listeners(
                        decisions,
                        decisions,
                        (id, load) -> targets.get(id).coordinated(load.running(), load.prefillTokens()))
                .build();
        Random random = new Random(3);
        double total = PER_SECOND[0] + PER_SECOND[1] + PER_SECOND[2];
        double nextMillis = 0;
        long id = 0;
        for (nowMillis = 0; nowMillis < BURST_MILLIS; nowMillis++) {
            while (!ends.isEmpty() && ends.peek().atMillis() <= nowMillis) {
                End end = ends.poll();
                coordinator.progress("front-1", end.id(), RunEvent.RUN_ANSWERED, 0, nowMillis);
            }
            while (nextMillis <= nowMillis) {
                nextMillis += -Math.log(1 - random.nextDouble()) * 1_000 / total;
                double point = random.nextDouble() * total;
                int rank = point < PER_SECOND[0] ? 0 : point < PER_SECOND[0] + PER_SECOND[1] ? 1 : 2;
                ask(id++, rank);
            }
            if (nowMillis % 20 == 0) {
                coordinator.advance(nowMillis);
            }
            if (nowMillis % 1_000 == 999) {
                coordinator.underWay("front-1", "summaries", underWay(), nowMillis);
            }
        }
    }

    private Map<Long, RunningRequests.Run> underWay() {
        Map<Long, RunningRequests.Run> runs = new HashMap<>();
        ends.forEach(end -> runs.put(end.id(), new RunningRequests.Run(engineOf.get(end.id()), 0)));
        return runs;
    }

    private void ask(long id, int rank) {
        arrived[rank]++;
        ranks.put(id, rank);
        coordinator.ask(
                ImmutableAsk.builder()
                        .requester("front-1")
                        .id(id)
                        .demand(ImmutableDemand.copyOf(Fixtures.demand(rank, 600, "s" + id))
                                .withAnswerTokens(answerTokens[rank]))
                        .deadlineAtMillis(nowMillis + 10_000)
                        .patienceUntilMillis(nowMillis + PATIENCE_MILLIS[rank])
                        .onTimeUntilMillis(nowMillis + PATIENCE_MILLIS[rank] / 2)
                        .build(),
                nowMillis);
    }

    private final class Decisions implements Outbox, TargetReports {
        @Override
        public void granted(Ask ask, Candidate candidate) {
            int rank = ranks.get(ask.id());
            placed[rank]++;
            engineOf.put(ask.id(), candidate.state().target().id());
            ends.add(new End(nowMillis + HOLD_MILLIS[rank], ask.id()));
        }

        @Override
        public void waiting(Ask ask) {}

        @Override
        public void shed(Ask ask, RefusalGrounds grounds) {}

        @Override
        public void overQuota(Ask ask, RefusalGrounds grounds) {}

        @Override
        public void answered(String targetId) {}

        @Override
        public void erred(String targetId) {}

        @Override
        public void failed(String targetId, boolean certain) {}
    }
}
