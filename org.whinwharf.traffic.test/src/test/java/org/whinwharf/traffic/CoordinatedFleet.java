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
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Simulates a coordinator and engines that hold a slot for each request for a given time, on a clock driven by the
 * test. The requester is {@code front-1}, which reports its requests in flight once per second.
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
        PromptCacheIndex promptCache = new PromptCacheIndex();
        coordinator = new Coordinator(ImmutableCoordinatorDependencies.builder()
                .localName("front-0")
                .targetSelector(new TargetSelector(promptCache, target -> 0, () -> 0))
                .promptCache(promptCache)
                .targets(service -> targets.values())
                .evacuatedDataCentres(Set::of)
                .quotas(new QuotaLedger(true))
                .decisionListener(this)
                .targetOutcomeListener(this)
                .loadListener((id, load) -> targets.get(id).updateCoordinatedLoad(load.running(), load.prefillTokens()))
                .build());
    }

    /** Advances the clock: ends requests, advances the coordinator, and reports the requests in flight. */
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

    /** Requests a placement; the request holds its slot for the given time. */
    void requestPlacement(PlacementRequest request, long slotMillis) {
        holdMillisByRequest.put(request.id(), slotMillis);
        coordinator.requestPlacement(request, nowMillis);
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns the time at which each request was granted a target, by id. */
    Map<Long, Long> grantedAtMillis() {
        return grantedAtMillis;
    }

    /** Returns the time at which each request was rejected, by id. */
    Map<Long, Long> rejectedAtMillis() {
        return rejectedAtMillis;
    }

    @Override
    public void granted(PlacementRequest request, Candidate candidate) {
        grantedAtMillis.put(request.id(), nowMillis);
        engineByRequest.put(request.id(), candidate.state().target().id());
        ends.add(new End(nowMillis + holdMillisByRequest.get(request.id()), request.id()));
    }

    @Override
    public void shed(PlacementRequest request, RejectionDetails details) {
        rejectedAtMillis.put(request.id(), nowMillis);
    }
}
