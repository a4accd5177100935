package org.whinwharf.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinwharf.traffic.coordination.Coordinator;
import org.whinwharf.traffic.coordination.ImmutableCoordinatorDependencies;
import org.whinwharf.traffic.coordination.ImmutablePlacementRequest;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.coordination.RejectionDetails;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.SpeedBaseline;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.traffic.waiting.QueueTimeouts;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Simulates callers, a coordinator and batching engines of different speeds on a simulated clock, without a network.
 *
 * <p>Lengths of prompts and answers are log-normal. An engine admits requests in order of arrival, generates one token
 * of each running answer per step, and reads prompts in chunks between these tokens. A rejected caller retries once
 * after the Retry-After delay, but waits at most a third of its remaining time.
 */
final class WorkloadSimulation extends NoOpCoordinatorListener {
    private static final String FRONT = "front-1";
    private static final double ONE_WAY_MILLIS = 2;
    private static final double CALLER_ONE_WAY_MILLIS = 3;
    private static final EngineSpeed DEFAULT_SPEED = new EngineSpeed(62, 3.1, 9);
    private static final int PREFILL_CHUNK_TOKENS = 1_024;
    private static final double ADVANCE_INTERVAL_MILLIS = 20;
    private static final double REPORT_INTERVAL_MILLIS = 1_000;
    /** Share by which each request beyond the knee of an engine slows down all requests at it. */
    private static final double KNEE_SLOWDOWN = 0.6;
    /** Standard deviation of the logarithm of the callers' estimates of the length of an answer. */
    private static final double HINT_SIGMA = 0.5;

    private final Map<String, TargetState> targets = new LinkedHashMap<>();
    private final Map<String, Engine> engines = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Integer> limitChanges = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<Kind, Result> results = new LinkedHashMap<>();
    private final Random random;
    private final EngineSpeed speed;
    private final Coordinator coordinator;
    private boolean eventsCounted = true;
    private double nowMillis;
    private long nextEvent;
    private long nextAttempt;

    /**
     * One kind of request.
     *
     * @param routeRank rank of its route
     * @param perSecond mean arrival rate
     * @param promptTokens mean length of the prompt
     * @param promptVariation coefficient of variation of that length
     * @param answerTokens mean length of the answer
     * @param answerVariation coefficient of variation of that length
     * @param maxAnswerTokens maximum length of the answer, the same for all requests of the kind
     * @param objectiveMillis objective for the time to the first event
     * @param deadlineMillis time within which the answer must be complete
     * @param worth value of an answer on time; a late one has three tenths of it
     */
    record Kind(
            int routeRank,
            double perSecond,
            double promptTokens,
            double promptVariation,
            double answerTokens,
            double answerVariation,
            long maxAnswerTokens,
            long objectiveMillis,
            long deadlineMillis,
            double worth) {}

    /**
     * Speed of an engine of slowness 1.
     *
     * @param prefillTokensPerMilli prompt tokens read per millisecond
     * @param stepMillis time to generate one token of each running answer
     * @param tokensPerEvent tokens in one event of a stream
     */
    record EngineSpeed(double prefillTokensPerMilli, double stepMillis, int tokensPerEvent) {}

    /** Phase of the load: until a time, all rates are multiplied by a factor. */
    record Phase(double untilMillis, double factor) {}

    /** What became of the requests of one kind. */
    static final class Result {
        private int asked;
        private int onTime;
        private int late;
        private int longAsked;
        private int longServed;
        private int refusals;
        private int refusedTwice;

        int asked() {
            return asked;
        }

        int onTime() {
            return onTime;
        }

        int late() {
            return late;
        }

        /** Returns the number of rejected attempts. */
        int refusals() {
            return refusals;
        }

        /** Returns the number of requests whose retry was rejected as well. */
        int refusedTwice() {
            return refusedTwice;
        }

        double servedShare() {
            return (onTime + late) / (double) asked;
        }

        /** Returns the share that was served of the tenth of the requests with the longest answers. */
        double longServedShare() {
            return longServed / (double) Math.max(1, longAsked);
        }

        /** Returns the earned share of the worth of all requests. */
        double worthShare() {
            return worthShare(0.3);
        }

        /** Returns the earned share of the worth of all requests, with a given share for a late answer. */
        double worthShare(double lateWorth) {
            return (onTime + lateWorth * late) / asked;
        }
    }

    private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** One request of a caller with all its attempts. */
    private static final class Call {
        private final Kind kind;
        private final double startedAtMillis;
        private final long promptTokens;
        private final long answerTokens;
        private final long hintTokens;
        private final boolean longAnswer;
        private boolean retried;

        Call(Kind kind, double startedAtMillis, long promptTokens, long answerTokens, long hintTokens) {
            this.kind = kind;
            this.startedAtMillis = startedAtMillis;
            this.promptTokens = promptTokens;
            this.answerTokens = answerTokens;
            this.hintTokens = hintTokens;
            longAnswer = answerTokens > 2.3 * kind.answerTokens();
        }
    }

    /** One attempt of a call. */
    private static final class Attempt {
        private final long id;
        private final Call call;
        private Engine engine;
        private double sentAtMillis;
        private double firstEventAtMillis;
        private long prefillLeft;
        private long made;
        private boolean ended;

        Attempt(long id, Call call) {
            this.id = id;
            this.call = call;
        }
    }

    /** An engine that batches the requests in its slots. */
    private final class Engine {
        private final String id;
        private final int slots;
        private double slowness;
        private int knee = Integer.MAX_VALUE;
        private final Deque<Attempt> waiting = new ArrayDeque<>();
        private final List<Attempt> running = new ArrayList<>();
        private boolean stepping;

        Engine(String id, int slots, double slowness) {
            this.id = id;
            this.slots = slots;
            this.slowness = slowness;
        }

        void receive(Attempt attempt) {
            waiting.add(attempt);
            if (!stepping) {
                step();
            }
        }

        void cancel(Attempt attempt) {
            waiting.remove(attempt);
            running.remove(attempt);
        }

        private void step() {
            while (running.size() < slots && !waiting.isEmpty()) {
                running.add(waiting.poll());
            }
            stepping = !running.isEmpty();
            if (!stepping) {
                return;
            }
            long chunkLeft = PREFILL_CHUNK_TOKENS;
            List<Attempt> generating = new ArrayList<>();
            for (Attempt attempt : running) {
                if (attempt.prefillLeft == 0) {
                    generating.add(attempt);
                } else {
                    long read = Math.min(chunkLeft, attempt.prefillLeft);
                    attempt.prefillLeft -= read;
                    chunkLeft -= read;
                }
            }
            double readMillis = (PREFILL_CHUNK_TOKENS - chunkLeft) / speed.prefillTokensPerMilli();
            double crowding = 1 + KNEE_SLOWDOWN * Math.max(0, running.size() - knee);
            schedule(slowness * crowding * (speed.stepMillis() + readMillis), () -> {
                generating.forEach(this::generate);
                step();
            });
        }

        private void generate(Attempt attempt) {
            attempt.made++;
            boolean complete = attempt.made >= attempt.call.answerTokens;
            if (attempt.made == speed.tokensPerEvent() || complete && attempt.made < speed.tokensPerEvent()) {
                schedule(ONE_WAY_MILLIS, () -> firstEvent(attempt));
            }
            if (complete) {
                running.remove(attempt);
                schedule(ONE_WAY_MILLIS, () -> complete(attempt));
            }
        }
    }

    WorkloadSimulation(long seed, Policy policy, int slots, double... slowness) {
        this(new Random(seed), policy, slots, slowness);
    }

    private WorkloadSimulation(Random random, Policy policy, int slots, double... slowness) {
        this(random, random, policy, DEFAULT_SPEED, slots, slowness);
    }

    /** Creates an instance whose load is the same under every policy, so that policies can be compared in pairs. */
    WorkloadSimulation(long seed, Policy policy, EngineSpeed speed, int slots, double... slowness) {
        this(new Random(seed), new Random(~seed), policy, speed, slots, slowness);
    }

    private WorkloadSimulation(
            Random arrivals, Random decisions, Policy policy, EngineSpeed speed, int slots, double... slowness) {
        this.speed = speed;
        random = arrivals;
        SpeedBaseline baseline = new SpeedBaseline(policy.isEnabled(Mechanism.LEARNED_LIMITS));
        for (int i = 0; i < slowness.length; i++) {
            String id = "engine-" + i;
            targets.put(id, new TargetState(Fixtures.target(id, slots), baseline));
            engines.put(id, new Engine(id, slots, slowness[i]));
        }
        PromptCacheIndex promptCache = new PromptCacheIndex();
        coordinator = new Coordinator(ImmutableCoordinatorDependencies.builder()
                .localName("front-0")
                .targetSelector(new TargetSelector(promptCache, target -> 0, () -> 0, policy))
                .promptCache(promptCache)
                .targets(service -> targets.values())
                .evacuatedDataCentres(Set::of)
                .quotas(new QuotaLedger(true))
                .decisionListener(this)
                .targetOutcomeListener(this)
                .loadListener((id, load) -> targets.get(id).updateCoordinatedLoad(load.running(), load.prefillTokens()))
                .random(decisions::nextDouble)
                .limitListener((service, id, previous, limit, paceMillis, load, samples) ->
                        limitChanges.merge(id, 1, Integer::sum))
                .policy(policy)
                .build());
    }

    /** Sets at a time how many requests an engine takes at once before it slows down, and how slow it is then. */
    void changeEngine(double atMillis, int engine, int knee, double slowness) {
        schedule(atMillis - nowMillis, () -> {
            engines.get("engine-" + engine).knee = knee;
            engines.get("engine-" + engine).slowness = slowness;
        });
    }

    /** Reports answers without the number of their events from now on, so that no limits are learned from them. */
    void stopLearningLimits() {
        eventsCounted = false;
    }

    /** Returns the state of an engine's target. */
    TargetState target(int engine) {
        return targets.get("engine-" + engine);
    }

    /** Returns how often the limit of an engine's target has changed. */
    int limitChanges(int engine) {
        return limitChanges.getOrDefault("engine-" + engine, 0);
    }

    /**
     * Runs the load and returns the results by kind.
     *
     * @param kinds kinds of requests
     * @param phases phases of the load in order
     * @return results of the requests that started in any phase
     */
    Map<Kind, Result> run(List<Kind> kinds, List<Phase> phases) {
        double endMillis = phases.get(phases.size() - 1).untilMillis();
        for (Kind kind : kinds) {
            results.put(kind, new Result());
            scheduleArrival(kind, phases, 0);
        }
        schedule(ADVANCE_INTERVAL_MILLIS, this::advanceRepeatedly);
        schedule(REPORT_INTERVAL_MILLIS, this::reportRepeatedly);
        double drainedMillis =
                endMillis + kinds.stream().mapToLong(Kind::deadlineMillis).max().orElse(0);
        while (!events.isEmpty() && events.peek().atMillis() <= drainedMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        return results;
    }

    private void schedule(double inMillis, Runnable action) {
        events.add(new Event(nowMillis + inMillis, nextEvent++, action));
    }

    private void scheduleArrival(Kind kind, List<Phase> phases, double fromMillis) {
        for (Phase phase : phases) {
            if (fromMillis < phase.untilMillis()) {
                double gapMillis = -Math.log(1 - random.nextDouble()) * 1_000 / (kind.perSecond() * phase.factor());
                double atMillis = fromMillis + gapMillis;
                if (atMillis >= phase.untilMillis()) {
                    scheduleArrival(kind, phases, phase.untilMillis());
                } else {
                    schedule(atMillis - nowMillis, () -> {
                        arrive(kind);
                        scheduleArrival(kind, phases, nowMillis);
                    });
                }
                return;
            }
        }
    }

    private void arrive(Kind kind) {
        long prompt = Math.max(8, Math.round(logNormal(kind.promptTokens(), kind.promptVariation())));
        long answer = Math.max(1, Math.round(logNormal(kind.answerTokens(), kind.answerVariation())));
        long bounded = Math.min(answer, kind.maxAnswerTokens());
        long hint = Math.max(1, Math.round(bounded * Math.exp(HINT_SIGMA * random.nextGaussian())));
        Call call = new Call(kind, nowMillis, prompt, bounded, hint);
        results.get(kind).asked++;
        results.get(kind).longAsked += call.longAnswer ? 1 : 0;
        attempt(call);
    }

    private double logNormal(double mean, double variation) {
        double variance = Math.log(1 + variation * variation);
        return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }

    private void attempt(Call call) {
        Attempt attempt = new Attempt(nextAttempt++, call);
        attempt.prefillLeft = call.promptTokens;
        attempts.put(attempt.id, attempt);
        double remainingMillis = call.startedAtMillis + call.kind.deadlineMillis() - nowMillis;
        schedule(CALLER_ONE_WAY_MILLIS + ONE_WAY_MILLIS, () -> requestPlacement(attempt, remainingMillis));
        schedule(remainingMillis, () -> timedOut(attempt));
    }

    private void requestPlacement(Attempt attempt, double remainingMillis) {
        Call call = attempt.call;
        long now = (long) nowMillis;
        long objectiveMillis = call.kind.objectiveMillis();
        coordinator.requestPlacement(
                ImmutablePlacementRequest.builder()
                        .requester(FRONT)
                        .id(attempt.id)
                        .demand(ImmutableDemand.copyOf(Fixtures.demand(
                                        call.kind.routeRank(), call.promptTokens, "subject-" + attempt.id))
                                .withMaxAnswerTokens(call.kind.maxAnswerTokens())
                                .withEstimatedAnswerTokens(call.hintTokens)
                                .withRemainingMillis((long) remainingMillis))
                        .deadlineAtMillis(now + (long) remainingMillis)
                        .queueTimeoutAtMillis(
                                now + QueueTimeouts.queueTimeoutMillis(objectiveMillis, (long) remainingMillis))
                        .onTimeUntilMillis(now + QueueTimeouts.onTimeMillis(objectiveMillis))
                        .build(),
                now);
    }

    @Override
    public void granted(PlacementRequest request, Candidate candidate) {
        Attempt attempt = attempts.get(request.id());
        attempt.engine = engines.get(candidate.state().target().id());
        schedule(2 * ONE_WAY_MILLIS, () -> {
            if (!attempt.ended) {
                attempt.sentAtMillis = nowMillis - ONE_WAY_MILLIS;
                attempt.engine.receive(attempt);
            }
        });
    }

    @Override
    public void shed(PlacementRequest request, RejectionDetails details) {
        Attempt attempt = attempts.remove(request.id());
        attempt.ended = true;
        Call call = attempt.call;
        results.get(call.kind).refusals++;
        if (call.retried) {
            results.get(call.kind).refusedTwice++;
            return;
        }
        call.retried = true;
        double leftMillis = call.startedAtMillis + call.kind.deadlineMillis() - nowMillis;
        schedule(Math.min(details.retryAfterMillis(), leftMillis / 3), () -> attempt(call));
    }

    private void firstEvent(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.firstEventAtMillis = nowMillis;
        long tookMillis = (long) (nowMillis - attempt.sentAtMillis);
        report(attempt, RunEvent.RUN_FIRST_EVENT, tookMillis);
    }

    private void complete(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        Call call = attempt.call;
        Result result = results.get(call.kind);
        double firstAfterMillis = attempt.firstEventAtMillis + CALLER_ONE_WAY_MILLIS - call.startedAtMillis;
        if (firstAfterMillis <= call.kind.objectiveMillis()) {
            result.onTime++;
        } else {
            result.late++;
        }
        result.longServed += call.longAnswer ? 1 : 0;
        int eventCount =
                !eventsCounted ? 0 : (int) ((attempt.made + speed.tokensPerEvent() - 1) / speed.tokensPerEvent());
        long tookMillis = (long) (nowMillis - attempt.firstEventAtMillis);
        schedule(
                ONE_WAY_MILLIS,
                () -> coordinator.reportProgress(
                        FRONT, attempt.id, RunEvent.RUN_ANSWERED, tookMillis, eventCount, (long) nowMillis));
    }

    private void timedOut(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (attempt.engine != null) {
            attempt.engine.cancel(attempt);
        }
        report(attempt, RunEvent.RUN_GIVEN_UP, 0);
    }

    private void report(Attempt attempt, RunEvent event, long tookMillis) {
        schedule(
                ONE_WAY_MILLIS,
                () -> coordinator.reportProgress(FRONT, attempt.id, event, tookMillis, (long) nowMillis));
    }

    private void advanceRepeatedly() {
        coordinator.advance((long) nowMillis);
        schedule(ADVANCE_INTERVAL_MILLIS, this::advanceRepeatedly);
    }

    private void reportRepeatedly() {
        Map<Long, RunningRequests.Run> inFlight = attempts.values().stream()
                .filter(attempt -> attempt.engine != null && !attempt.ended)
                .collect(Collectors.toMap(
                        attempt -> attempt.id,
                        attempt -> new RunningRequests.Run(attempt.engine.id, attempt.prefillLeft)));
        coordinator.reportInFlight(FRONT, "summaries", inFlight, (long) nowMillis);
        attempts.values().removeIf(attempt -> attempt.ended);
        schedule(REPORT_INTERVAL_MILLIS, this::reportRepeatedly);
    }
}
