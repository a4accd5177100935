package org.whinwharf.traffic;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.whinwharf.traffic.coordination.Coordinator;
import org.whinwharf.traffic.coordination.ImmutableCoordinatorDependencies;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.target.PromptCache;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * A coordinator with engines that hold a slot for each request for a given time, on a clock that the test drives. The
 * front that asks is {@code front-1}; it says once a second what it has under way.
 */
final class CoordinatedFleet extends NoOpCoordinatorListener {
    static final String FRONT = "front-1";
    private static final long ADVANCE_INTERVAL_MILLIS = 20;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final Map<String, TargetState> targets = new LinkedHashMap<>();
    private final PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private final Map<Long, Long> holdMillisByRequest = new HashMap<>();
    private final Map<Long, String> engineByRequest = new HashMap<>();
    private final Map<Long, Long> grantedAtMillis = new HashMap<>();
    private final Map<Long, Long> rejectedAtMillis = new HashMap<>();
    private final Coordinator coordinator;
    private long nowMillis;

    private record End(long atMillis, long id) {}

    CoordinatedFleet(int engines, int slots) {
        for (int i = 0; i < engines; i++) {
            targets.put("engine-" + i, new TargetState(Fixtures.target("engine-" + i, slots)));
        }
        PromptCache prompts = new PromptCache();
        coordinator = new Coordinator(ImmutableCoordinatorDependencies.builder()
                .localName("front-0")
                .targetSelector(new TargetSelector(prompts, target -> 0, () -> 0))
                .promptCache(prompts)
                .targets(service -> targets.values())
                .evacuatedDataCentres(Set::of)
                .quotas(new QuotaLedger(true))
                .decisionListener(this)
                .targetOutcomeListener(this)
                .loadListener((id, load) -> targets.get(id).coordinated(load.running(), load.prefillTokens()))
                .build());
    }

    /** Moves the clock: requests end, the line is looked at, and the front says what it has under way. */
    void advance(long toMillis) {
        nowMillis = toMillis;
        while (!ends.isEmpty() && ends.peek().atMillis() <= nowMillis) {
            coordinator.reportProgress(FRONT, ends.poll().id(), RunEvent.RUN_ANSWERED, 0, nowMillis);
        }
        if (nowMillis % ADVANCE_INTERVAL_MILLIS == 0) {
            coordinator.advance(nowMillis);
        }
        if (nowMillis % REPORT_INTERVAL_MILLIS == REPORT_INTERVAL_MILLIS - 1) {
            coordinator.reportInFlight(FRONT, "summaries", inFlight(), nowMillis);
        }
    }

    private Map<Long, RunningRequests.Run> inFlight() {
        Map<Long, RunningRequests.Run> runs = new HashMap<>();
        ends.forEach(end -> runs.put(end.id(), new RunningRequests.Run(engineByRequest.get(end.id()), 0)));
        return runs;
    }

    /** Asks for a target; the request will hold its slot for the given time. */
    void requestPlacement(PlacementRequest ask, long slotMillis) {
        holdMillisByRequest.put(ask.id(), slotMillis);
        coordinator.requestPlacement(ask, nowMillis);
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns when each request got a target. */
    Map<Long, Long> grantedAtMillis() {
        return grantedAtMillis;
    }

    /** Returns when each request was refused. */
    Map<Long, Long> rejectedAtMillis() {
        return rejectedAtMillis;
    }

    @Override
    public void granted(PlacementRequest ask, Candidate candidate) {
        grantedAtMillis.put(ask.id(), nowMillis);
        engineByRequest.put(ask.id(), candidate.state().target().id());
        ends.add(new End(nowMillis + holdMillisByRequest.get(ask.id()), ask.id()));
    }

    @Override
    public void shed(PlacementRequest ask, RejectionDetails grounds) {
        rejectedAtMillis.put(ask.id(), nowMillis);
    }
}
