package org.whinwharf.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.whinwharf.traffic.coordination.Coordinator;
import org.whinwharf.traffic.coordination.DecisionListener;
import org.whinwharf.traffic.coordination.ImmutableCoordinatorDependencies;
import org.whinwharf.traffic.coordination.ImmutablePlacementRequest;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.coordination.TargetOutcomeListener;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.target.ImmutableTarget;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.PromptPart;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Feeds a coordinator with the asks and ends of a whole fleet, on a clock of its own, and times each step. A third of
 * the requests are long, a third middling and a third short, as on the grown deployments in use.
 */
final class CoordinatorLoad implements DecisionListener, TargetOutcomeListener {
    private static final String SERVICE = "engines";
    private static final long LOOK_MILLIS = 20;
    private static final long LIST_MILLIS = 1_000;
    private static final long OBJECTIVE_MILLIS = 500;
    private static final long DEADLINE_MILLIS = 12_000;
    private static final long FIRST_EVENT_MILLIS = 60;
    private static final long[] HOLD_MILLIS = {1_500, 1_150, 120};
    private static final long[] PROMPT_TOKENS = {6_610, 628, 1_800};
    private static final long[] ANSWER_TOKENS = {3_840, 2_940, 228};
    private static final long MOST_NANOS = 10_000_000_000L;

    private final Map<String, TargetState> targets = new LinkedHashMap<>();
    private final PriorityQueue<Progress> expected =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private final Map<String, Map<Long, RunningRequests.Run>> underWay = new HashMap<>();
    private final Histogram askNanos = new Histogram(MOST_NANOS, 3);
    private final Histogram progressNanos = new Histogram(MOST_NANOS, 3);
    private final Histogram lookNanos = new Histogram(MOST_NANOS, 3);
    private final Histogram listNanos = new Histogram(MOST_NANOS, 3);
    private final Random random = new Random(1);
    private final List<String> fronts = new ArrayList<>();
    private final double asksPerMilli;
    private final Coordinator coordinator;
    private long nowMillis;
    private double nextAskMillis;
    private long lastId;
    private long granted;
    private long refused;

    private record Progress(long atMillis, String front, long id, RunEvent event) {}

    CoordinatorLoad(int frontCount, int engines, int slots, double asksPerSecond) {
        asksPerMilli = asksPerSecond / 1_000;
        for (int i = 0; i < frontCount; i++) {
            fronts.add("front-" + i);
            underWay.put("front-" + i, new HashMap<>());
        }
        for (int i = 0; i < engines; i++) {
            targets.put("engine-" + i, new TargetState(target("engine-" + i, slots)));
        }
        PromptCacheIndex prompts = new PromptCacheIndex();
        coordinator = new Coordinator(ImmutableCoordinatorDependencies.builder()
                .localName("front-0")
                .targetSelector(new TargetSelector(prompts, target -> 0, () -> 0))
                .promptCache(prompts)
                .targets(service -> targets.values())
                .evacuatedDataCentres(Set::of)
                .quotas(new QuotaLedger(true))
                .decisionListener(this)
                .targetOutcomeListener(this)
                .loadListener((id, load) -> targets.get(id).updateCoordinatedLoad(load.running(), load.prefillTokens()))
                .random(random::nextDouble)
                .build());
    }

    private static ImmutableTarget target(String id, int slots) {
        return ImmutableTarget.builder()
                .id(id)
                .service(SERVICE)
                .ip("10.0.0.1")
                .port(8_000)
                .version("v1")
                .dataCentre("a")
                .slots(slots)
                .draining(false)
                .coldRemainingMillis(0)
                .startedUnixMillis(1)
                .build();
    }

    /** Lets time pass under load. */
    void run(long millis) {
        long endMillis = nowMillis + millis;
        for (; nowMillis < endMillis; nowMillis++) {
            while (!expected.isEmpty() && expected.peek().atMillis() <= nowMillis) {
                progress(expected.poll());
            }
            while (nextAskMillis <= nowMillis) {
                nextAskMillis += -Math.log(1 - random.nextDouble()) / asksPerMilli;
                ask(random.nextInt(HOLD_MILLIS.length));
            }
            if (nowMillis % LOOK_MILLIS == 0) {
                time(lookNanos, () -> coordinator.advance(nowMillis));
            }
            if (nowMillis % LIST_MILLIS < fronts.size()) {
                String front = fronts.get((int) (nowMillis % LIST_MILLIS));
                time(listNanos, () -> coordinator.reportInFlight(front, SERVICE, underWay.get(front), nowMillis));
            }
        }
    }

    private static void time(Histogram nanos, Runnable step) {
        long startNanos = System.nanoTime();
        step.run();
        nanos.recordValue(System.nanoTime() - startNanos);
    }

    private void progress(Progress next) {
        if (next.event() == RunEvent.RUN_ANSWERED) {
            underWay.get(next.front()).remove(next.id());
        }
        time(
                progressNanos,
                () -> coordinator.reportProgress(next.front(), next.id(), next.event(), FIRST_EVENT_MILLIS, nowMillis));
    }

    private void ask(int kind) {
        long id = ++lastId * HOLD_MILLIS.length + kind;
        PlacementRequest ask = ImmutablePlacementRequest.builder()
                .requester(fronts.get(random.nextInt(fronts.size())))
                .id(id)
                .demand(ImmutableDemand.builder()
                        .service(SERVICE)
                        .dataCentre("a")
                        .promptTokens(PROMPT_TOKENS[kind])
                        .maxAnswerTokens(ANSWER_TOKENS[kind])
                        .remainingMillis(DEADLINE_MILLIS)
                        .addPromptParts(
                                new PromptPart("shared", 60), new PromptPart("own-" + id, PROMPT_TOKENS[kind] - 60))
                        .tierRank(kind)
                        .build())
                .deadlineAtMillis(nowMillis + DEADLINE_MILLIS)
                .queueTimeoutAtMillis(nowMillis + 2 * OBJECTIVE_MILLIS)
                .onTimeUntilMillis(nowMillis + OBJECTIVE_MILLIS * 4 / 5)
                .build();
        time(askNanos, () -> coordinator.requestPlacement(ask, nowMillis));
    }

    /** Starts the times and counts anew, for what was not compiled yet would count as well. */
    void forgetTimes() {
        askNanos.reset();
        progressNanos.reset();
        lookNanos.reset();
        listNanos.reset();
        granted = 0;
        refused = 0;
    }

    Histogram askNanos() {
        return askNanos;
    }

    Histogram progressNanos() {
        return progressNanos;
    }

    Histogram lookNanos() {
        return lookNanos;
    }

    Histogram listNanos() {
        return listNanos;
    }

    long granted() {
        return granted;
    }

    long refused() {
        return refused;
    }

    @Override
    public void granted(PlacementRequest ask, Candidate candidate) {
        granted++;
        String targetId = candidate.state().target().id();
        long holdMillis = HOLD_MILLIS[(int) (ask.id() % HOLD_MILLIS.length)];
        underWay.get(ask.requester()).put(ask.id(), new RunningRequests.Run(targetId, 0));
        expected.add(new Progress(
                nowMillis + Math.min(FIRST_EVENT_MILLIS, holdMillis),
                ask.requester(),
                ask.id(),
                RunEvent.RUN_FIRST_EVENT));
        expected.add(new Progress(nowMillis + holdMillis, ask.requester(), ask.id(), RunEvent.RUN_ANSWERED));
    }

    @Override
    public void queued(PlacementRequest ask) {}

    @Override
    public void shed(PlacementRequest ask, RejectionDetails grounds) {
        refused++;
    }

    @Override
    public void overQuota(PlacementRequest ask, RejectionDetails grounds) {
        refused++;
    }

    @Override
    public void quarantined(PlacementRequest ask, long retryAfterMillis) {
        refused++;
    }

    @Override
    public void answered(String targetId) {}

    @Override
    public void erred(String targetId) {}

    @Override
    public void failed(String targetId, boolean certain, String reporter) {}

    @Override
    public void silent(String targetId, String reporter) {}

    @Override
    public void resumed(String targetId) {}
}
