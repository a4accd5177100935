package org.whinwharf.traffic.coordination;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.target.TargetSpeed;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.traffic.waiting.DispatchResult;
import org.whinwharf.traffic.waiting.JoinedRanks;
import org.whinwharf.traffic.waiting.QueueTimeouts;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.traffic.waiting.RequestQueue;
import org.whinwharf.traffic.waiting.WaitEstimator;
import org.whinwharf.wire.fleet.RunEvent;

/** The waiting line, the grants and the requests under way of one service, as its coordinator knows them. */
final class ServiceCoordinator {
    /** Requests that wait for one service. At the rate of a fleet of ninety, more would outwait their patience. */
    private static final int MAX_QUEUED = 1_024;
    /** Requests ahead below which none is refused on arrival: the pace of so few says little. */
    private static final int MIN_AHEAD_FOR_REJECTION = 4;
    /**
     * Time since a target last began or ended an answer, for whomever, within which it does not hang. A full engine
     * ends some ten answers in it, a slow one three.
     */
    private static final long TARGET_ACTIVITY_TIMEOUT_MILLIS = 1_000;

    private final CoordinatorDependencies dependencies;
    private final String service;
    private final RequestQueue queue;
    private final RunningRequests running;
    private final WaitEstimator waitEstimator = new WaitEstimator();
    private final JoinedRanks joinedRanks = new JoinedRanks();
    private final Map<RequestKey, QueuedPlacement> queuedRequests = new HashMap<>();
    private final Map<RequestKey, Grant> grants = new LinkedHashMap<>();
    private final Map<String, Long> lastActivityAtMillis = new HashMap<>();

    private record RequestKey(String requester, long id) {}

    private record Grant(PlacementRequest request, Candidate candidate) {}

    ServiceCoordinator(CoordinatorDependencies parts, String service) {
        this.dependencies = parts;
        this.service = service;
        queue = new RequestQueue(MAX_QUEUED, parts.policy());
        running = new RunningRequests(parts.loadListener());
    }

    /** Returns how many requests wait. */
    int queuedRequests() {
        return queue.size();
    }

    /** Sends and refuses what waits, and drops the requests of processes that fell silent. */
    void advance(long nowMillis) {
        running.expireSilent(nowMillis).forEach(this::removeEndedGrants);
        lastActivityAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > TARGET_ACTIVITY_TIMEOUT_MILLIS);
        queue.advance(nowMillis);
    }

    void requestPlacement(PlacementRequest ask, long nowMillis) {
        RequestKey key = new RequestKey(ask.requester(), ask.id());
        Grant grant = grants.get(key);
        if (grant != null) {
            dependencies.decisionListener().granted(ask, grant.candidate());
            return;
        }
        if (queuedRequests.containsKey(key)) {
            dependencies.decisionListener().queued(ask);
            return;
        }
        QueuedPlacement queued = new QueuedPlacement(ask, key, assignQueueRank(ask, nowMillis), nowMillis);
        if (wouldTimeOut(queued, nowMillis)) {
            dependencies.decisionListener().shed(ask, queueRejection(queued.tierRank(), nowMillis));
            return;
        }
        if (!admitQuota(ask, nowMillis)) {
            dependencies
                    .decisionListener()
                    .overQuota(ask, quotaRejection(ask.organisation().orElseThrow(), nowMillis));
            return;
        }
        if (!queue.hasQueuedAhead(queued.tierRank())
                && !queued.tryDispatch(nowMillis).stillQueued()) {
            return;
        }
        queuedRequests.put(key, queued);
        dependencies.decisionListener().queued(ask);
        queue.add(queued, nowMillis);
    }

    /**
     * Tells whether a request would only wait to be refused. It is refused on arrival then: its caller can come back
     * the sooner, and a long line of such requests keeps nobody who has a chance.
     */
    private boolean wouldTimeOut(QueuedPlacement queued, long nowMillis) {
        int ahead = queue.queuedAhead(queued.tierRank(), nowMillis);
        long keptMillis = queue.effectiveTimeoutAtMillis(queued, nowMillis) - nowMillis;
        return dependencies.policy().isEnabled(Mechanism.REFUSAL_ON_ARRIVAL)
                && ahead >= MIN_AHEAD_FOR_REJECTION
                && estimatedWaitMillis(ahead, queued.tierRank(), nowMillis) > keptMillis;
    }

    private JoinedRanks.Assignment assignQueueRank(PlacementRequest ask, long nowMillis) {
        Demand demand = ask.demand();
        long onTimeMillis = ask.onTimeUntilMillis() - nowMillis;
        if (!dependencies.policy().isEnabled(Mechanism.JOINED_RANKS)) {
            return new JoinedRanks.Assignment(demand.tierRank(), onTimeMillis);
        }
        return joinedRanks.assign(
                demand.tierRank(),
                TargetSpeed.assumedHoldMillis(demand.promptTokens(), demand.maxAnswerTokens()),
                onTimeMillis);
    }

    void reportInFlight(String process, Map<Long, RunningRequests.Run> runs, long nowMillis) {
        running.reconcile(process, runs, nowMillis);
        removeEndedGrants(process);
    }

    /** Forgets the grants of a process whose requests are no longer under way. */
    private void removeEndedGrants(String process) {
        grants.keySet()
                .removeIf(key -> key.requester().equals(process)
                        && running.find(process, key.id()).isEmpty());
    }

    private boolean admitQuota(PlacementRequest ask, long nowMillis) {
        return ask.organisation().isEmpty()
                || dependencies
                        .quotas()
                        .tryAdmitFor(ask.requester(), ask.organisation().get(), ask.quotaTokens(), nowMillis);
    }

    void reportProgress(String process, long id, RunEvent event, long tookMillis, long nowMillis) {
        RequestKey key = new RequestKey(process, id);
        Optional<RunningRequests.Run> known = running.find(key.requester(), key.id());
        if (event == RunEvent.RUN_STALLED) {
            known.ifPresent(run -> reportSilence(run.targetId(), nowMillis));
            return;
        }
        if (event == RunEvent.RUN_FIRST_EVENT || event == RunEvent.RUN_ANSWERED) {
            known.ifPresent(run -> lastActivityAtMillis.put(run.targetId(), nowMillis));
        }
        QueuedPlacement queued = queuedRequests.remove(key);
        if (queued != null) {
            queue.remove(queued);
            queued.refundQuota();
        }
        Grant grant = grants.get(key);
        if (event == RunEvent.RUN_FIRST_EVENT) {
            running.recordPrefill(key.requester(), key.id());
            if (grant != null) {
                recordFirstEvent(key, grant, tookMillis);
            }
            return;
        }
        grants.remove(key);
        Optional<RunningRequests.Run> run = running.recordEnd(key.requester(), key.id());
        if (run.isPresent() && event == RunEvent.RUN_SILENT) {
            reportSilence(run.get().targetId(), nowMillis);
        } else if (run.isPresent() && !key.requester().equals(dependencies.localName())) {
            reportOutcome(run.get().targetId(), event);
        }
        if (grant != null) {
            recordEnd(key, grant, event, tookMillis, nowMillis);
        }
        queue.advance(nowMillis);
    }

    private void recordFirstEvent(RequestKey key, Grant grant, long tookMillis) {
        if (tookMillis > 0 && !key.requester().equals(dependencies.localName())) {
            Candidate candidate = grant.candidate();
            candidate.state().health().answering();
            candidate.state().speed().observed(candidate.tokensAhead(), candidate.occupancy(), tookMillis);
        }
    }

    private void recordEnd(RequestKey key, Grant grant, RunEvent event, long tookMillis, long nowMillis) {
        TargetState state = grant.candidate().state();
        long answerTokens = grant.request().demand().maxAnswerTokens();
        if (event == RunEvent.RUN_ANSWERED
                && tookMillis > 0
                && answerTokens > 0
                && !key.requester().equals(dependencies.localName())) {
            state.speed().answered(answerTokens, tookMillis);
        }
        if (event == RunEvent.RUN_REFUSED) {
            state.refusedAsFull(nowMillis);
        }
    }

    /**
     * Takes a target that hangs out of use. One process has a request or two at a target and hears nothing for seconds
     * where a long prompt waits behind others at a slow engine; ejected by that word alone, an engine that works would
     * be lost when its slots are needed most. If it speaks with others, the silence counts as an error.
     */
    private void reportSilence(String targetId, long nowMillis) {
        Long spokeMillis =
                dependencies.policy().isEnabled(Mechanism.SILENCE_TO_ALL) ? lastActivityAtMillis.get(targetId) : null;
        if (spokeMillis != null && nowMillis - spokeMillis <= TARGET_ACTIVITY_TIMEOUT_MILLIS) {
            dependencies.targetOutcomeListener().erred(targetId);
        } else {
            dependencies.targetOutcomeListener().failed(targetId, true);
        }
    }

    private void reportOutcome(String targetId, RunEvent event) {
        switch (event) {
            case RUN_ANSWERED -> dependencies.targetOutcomeListener().answered(targetId);
            case RUN_REFUSED, RUN_ERRED -> dependencies.targetOutcomeListener().erred(targetId);
            case RUN_UNREACHABLE -> dependencies.targetOutcomeListener().failed(targetId, true);
            case RUN_BROKEN -> dependencies.targetOutcomeListener().failed(targetId, false);
            default -> {
                // The caller left, or nothing is known: no word on the target.
            }
        }
    }

    private RejectionDetails queueRejection(int rank, long nowMillis) {
        long standingMillis = queue.backlogAgeMillis(rank, nowMillis);
        long adviceMillis = dependencies.policy().isEnabled(Mechanism.ADVICE_BY_STANDING) ? standingMillis : 0;
        int ahead = queue.queuedAhead(rank, nowMillis);
        return new RejectionDetails(
                QueueTimeouts.retryAfterMillis(
                        adviceMillis, dependencies.random().getAsDouble()),
                ahead,
                estimatedWaitMillis(ahead, rank, nowMillis),
                standingMillis,
                0);
    }

    private RejectionDetails quotaRejection(String organisation, long nowMillis) {
        QuotaLedger quotas = dependencies.quotas();
        return new RejectionDetails(
                quotas.comeBackMillis(organisation), 0, 0, 0, quotas.levelTokens(organisation, nowMillis));
    }

    private long estimatedWaitMillis(int ahead, int rank, long nowMillis) {
        return waitEstimator.estimatedWaitMillis(
                ahead, dependencies.policy().isEnabled(Mechanism.PACE_BY_RANK) ? rank : 0, nowMillis);
    }

    /** One ask that waits. */
    private final class QueuedPlacement implements QueuedRequest {
        private final PlacementRequest request;
        private final RequestKey key;
        private final int queueRank;
        private final long onTimeUntilMillis;
        private final long backlogTimeoutAtMillis;

        QueuedPlacement(PlacementRequest ask, RequestKey key, JoinedRanks.Assignment place, long nowMillis) {
            this.request = ask;
            this.key = key;
            queueRank = place.rank();
            onTimeUntilMillis = nowMillis + place.onTimeMillis();
            // A request that failed at a target was accepted once and is late already; it is not turned away
            // lightly.
            backlogTimeoutAtMillis = place.onTimeMillis() <= 0
                    ? ask.queueTimeoutAtMillis()
                    : nowMillis + QueueTimeouts.backlogTimeoutMillis(place.onTimeMillis());
        }

        @Override
        public long backlogTimeoutAtMillis() {
            return backlogTimeoutAtMillis;
        }

        @Override
        public int tierRank() {
            return queueRank;
        }

        @Override
        public long queueTimeoutAtMillis() {
            return request.queueTimeoutAtMillis();
        }

        @Override
        public long onTimeUntilMillis() {
            return onTimeUntilMillis;
        }

        @Override
        public String requiredModel() {
            return request.demand().model();
        }

        @Override
        public DispatchResult tryDispatch(long nowMillis) {
            ImmutableDemand demand = ImmutableDemand.copyOf(request.demand())
                    .withTierRank(queueRank)
                    .withRemainingMillis(request.deadlineAtMillis() - nowMillis);
            Optional<Candidate> chosen = dependencies
                    .targetSelector()
                    .select(
                            demand,
                            dependencies.targets().apply(service),
                            dependencies.evacuatedDataCentres().get(),
                            nowMillis);
            if (chosen.isEmpty()) {
                return DispatchResult.NO_TARGET;
            }
            if (shouldWaitForFasterTarget(chosen.get(), demand, nowMillis)) {
                return DispatchResult.HELD;
            }
            grant(chosen.get(), nowMillis);
            return DispatchResult.SENT;
        }

        /**
         * Tells whether the request would be late at the best target that is free, and on time at one that is not. A
         * slow engine reads a long prompt for a second; at a fast one a slot frees within some ten milliseconds, and
         * the slow one is as good as any other for a short prompt.
         */
        private boolean shouldWaitForFasterTarget(Candidate candidate, Demand demand, long nowMillis) {
            long leftMillis = request.onTimeUntilMillis() - nowMillis;
            return leftMillis > 0
                    && candidate.firstEventMillis() > leftMillis
                    && dependencies
                            .targetSelector()
                            .anyTargetWithin(
                                    demand,
                                    dependencies.targets().apply(service),
                                    dependencies.evacuatedDataCentres().get(),
                                    leftMillis,
                                    nowMillis);
        }

        private void grant(Candidate candidate, long nowMillis) {
            queuedRequests.remove(key);
            waitEstimator.recordPlacement(queueRank, nowMillis);
            String targetId = candidate.state().target().id();
            running.recordGrant(
                    key.requester(),
                    key.id(),
                    new RunningRequests.Run(targetId, candidate.uncachedTokens()),
                    nowMillis);
            candidate.recordDispatch(nowMillis);
            dependencies.promptCache().reads(request.demand().promptParts(), targetId, nowMillis);
            grants.put(key, new Grant(request, candidate));
            dependencies.decisionListener().granted(request, candidate);
        }

        @Override
        public void reject(long nowMillis) {
            queuedRequests.remove(key);
            refundQuota();
            dependencies.decisionListener().shed(request, queueRejection(queueRank, nowMillis));
        }

        void refundQuota() {
            request.organisation()
                    .ifPresent(
                            name -> dependencies.quotas().refundFor(request.requester(), name, request.quotaTokens()));
        }
    }
}
