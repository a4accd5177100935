package org.whinwharf.traffic.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.whinwharf.traffic.crash.Assessment;
import org.whinwharf.traffic.crash.CrashEvidence;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.crash.ImmutableLostRun;
import org.whinwharf.traffic.crash.LostRun;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.share.OrganisationShares;
import org.whinwharf.traffic.share.ShareCharge;
import org.whinwharf.traffic.target.TargetSpeed;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.traffic.waiting.DispatchResult;
import org.whinwharf.traffic.waiting.JoinedRanks;
import org.whinwharf.traffic.waiting.QueueTimeouts;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.traffic.waiting.RankAverages;
import org.whinwharf.traffic.waiting.RequestQueue;
import org.whinwharf.traffic.waiting.ReturnSchedule;
import org.whinwharf.traffic.waiting.WaitEstimator;
import org.whinwharf.wire.fleet.RunEvent;

/** Coordinates the requests of one service: holds its queue, its grants and its requests in flight. */
final class ServiceCoordinator {
    /** Queue limit. At the request rate of a fleet of ninety processes, further requests would reach their timeout. */
    private static final int MAX_QUEUED = 1_024;
    /** Number of requests ahead below which none is rejected on arrival, because so few allow no useful estimate. */
    private static final int MIN_AHEAD_FOR_REJECTION = 4;
    /**
     * Time after the last begin or end of an answer, for any process, during which a target does not count as hung. A
     * full engine completes about ten answers in this time, a slow one three.
     */
    private static final long TARGET_ACTIVITY_TIMEOUT_MILLIS = 1_000;

    private final CoordinatorDependencies dependencies;
    private final String service;
    private final OrganisationShares shares;
    private final ObservedShares observedShares;
    private final RequestQueue queue;
    private final RunningRequests running;
    private final PaceObserver paces;
    private final SuspectIsolation isolation;
    private final WaitEstimator waitEstimator = new WaitEstimator();
    private final ReturnSchedule returnSchedule = new ReturnSchedule();
    private final RankAverages rankAverages;
    private final JoinedRanks joinedRanks;
    private final Map<RequestKey, QueuedPlacement> queuedRequests = new HashMap<>();
    private final Map<RequestKey, Grant> grants = new LinkedHashMap<>();
    private final Map<String, Long> lastActivityAtMillis = new HashMap<>();

    private record RequestKey(String requester, long id) {}

    private record Grant(PlacementRequest request, Candidate candidate, ShareCharge charge, PaceObserver.Start start) {}

    ServiceCoordinator(CoordinatorDependencies dependencies, String service) {
        this.dependencies = dependencies;
        this.service = service;
        shares = new OrganisationShares(dependencies.organisationWeights());
        observedShares = new ObservedShares(shares);
        queue = new RequestQueue(MAX_QUEUED, dependencies.policy(), shares);
        paces = new PaceObserver(
                dependencies.loadListener(),
                dependencies.limitListener(),
                service,
                dependencies.policy().isEnabled(Mechanism.LEARNED_LIMITS));
        running = new RunningRequests(paces);
        isolation = new SuspectIsolation(running, dependencies.crashes());
        rankAverages = new RankAverages((tierRank, previousMillis, holdMillis) ->
                dependencies.workListener().holdTimeChanged(service, tierRank, previousMillis, holdMillis));
        joinedRanks = new JoinedRanks(rankAverages);
    }

    /** Returns the number of queued requests. */
    int queuedRequests() {
        return queue.size();
    }

    OrganisationShares shares() {
        return shares;
    }

    /** Places and rejects queued requests, and expires the requests of processes that have stopped reporting. */
    void advance(long nowMillis) {
        paces.advanceTo(nowMillis);
        running.expireSilent(nowMillis).forEach((process, runs) -> {
            removeEndedGrants(process, nowMillis);
            observedShares.forget(process);
            runs.forEach((id, run) -> recordUnknownEnd(process, id, run, nowMillis));
        });
        lastActivityAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > TARGET_ACTIVITY_TIMEOUT_MILLIS);
        shares.advance(nowMillis);
        queue.advance(nowMillis);
    }

    /** Records that a suspect may have crashed its target, since the process that would know it has gone. */
    private void recordUnknownEnd(String process, long id, RunningRequests.Run run, long nowMillis) {
        if (run.suspect().isPresent()) {
            Fingerprint suspect = run.suspect().get();
            Set<Fingerprint> sharedParts = dependencies.crashes().isLostPart(suspect) ? Set.of(suspect) : Set.of();
            dependencies
                    .lostRunListener()
                    .accept(ImmutableLostRun.builder()
                            // The same at the next coordinator in rank, which records the run too.
                            .id(LostRun.id(process, Long.hashCode(id)))
                            .fingerprint(suspect)
                            .sharedParts(sharedParts)
                            .targetId(run.targetId())
                            .sentAtMillis(nowMillis)
                            .endedAtMillis(nowMillis)
                            .evidence(CrashEvidence.LOST)
                            .build());
        }
    }

    void requestPlacement(PlacementRequest request, long nowMillis) {
        paces.advanceTo(nowMillis);
        RequestKey key = new RequestKey(request.requester(), request.id());
        Grant grant = grants.get(key);
        if (grant != null) {
            dependencies.decisionListener().granted(request, grant.candidate());
            return;
        }
        if (queuedRequests.containsKey(key)) {
            dependencies.decisionListener().queued(request);
            return;
        }
        Assessment assessment = assess(request, nowMillis);
        if (assessment.quarantined()) {
            dependencies.decisionListener().quarantined(request, assessment.retryAfterMillis());
            return;
        }
        QueuedPlacement queued = newQueuedPlacement(request, key, nowMillis);
        if (wouldTimeOut(queued, nowMillis)) {
            queued.reportLimited(nowMillis);
            dependencies.decisionListener().shed(request, queueRejection(queued, nowMillis));
            return;
        }
        if (!admitQuota(request, nowMillis)) {
            dependencies
                    .decisionListener()
                    .overQuota(request, quotaRejection(request.organisation().orElseThrow(), nowMillis));
            return;
        }
        if (!queue.hasQueuedAhead(queued.tierRank())
                && !queued.tryDispatch(nowMillis).stillQueued()) {
            return;
        }
        queuedRequests.put(key, queued);
        dependencies.decisionListener().queued(request);
        queue.add(queued, nowMillis);
    }

    private Assessment assess(PlacementRequest request, long nowMillis) {
        return request.suspect()
                .map(suspect -> dependencies.crashes().assess(suspect, nowMillis))
                .orElse(Assessment.CLEAN);
    }

    /**
     * Tells whether the estimated wait of a request exceeds its queue timeout. Such a request is rejected on arrival,
     * so that its caller can retry sooner and a long queue of such requests delays none that can still be served.
     */
    private boolean wouldTimeOut(QueuedPlacement queued, long nowMillis) {
        int queuedAhead = queue.queuedAhead(queued, nowMillis);
        long timeoutMillis = queue.effectiveTimeoutAtMillis(queued, nowMillis) - nowMillis;
        return dependencies.policy().isEnabled(Mechanism.REFUSAL_ON_ARRIVAL)
                && !queued.needsOneVersion()
                && queuedAhead >= MIN_AHEAD_FOR_REJECTION
                && estimatedWaitMillis(queuedAhead, queued.tierRank(), nowMillis) > timeoutMillis;
    }

    private QueuedPlacement newQueuedPlacement(PlacementRequest request, RequestKey key, long nowMillis) {
        Demand demand = request.demand();
        long ownOnTimeMillis = request.onTimeUntilMillis() - nowMillis;
        double holdMillis = TargetSpeed.assumedSlotMillis(demand.promptTokens(), demand.expectedAnswerTokens());
        JoinedRanks.Assignment joined = joinedRanks.assign(demand.tierRank(), holdMillis, ownOnTimeMillis);
        JoinedRanks.Assignment own = dependencies.policy().isEnabled(Mechanism.JOINED_RANKS)
                ? joined
                : new JoinedRanks.Assignment(demand.tierRank(), ownOnTimeMillis);
        // The objective counts from the caller's first attempt, so a caller that returns is late.
        JoinedRanks.Assignment assignment =
                returnSchedule.recordArrival(demand.tierRank(), request.deadlineAtMillis(), nowMillis)
                        ? new JoinedRanks.Assignment(own.rank(), 0)
                        : own;
        long headStartMillis = dependencies.policy().isEnabled(Mechanism.SHORT_FIRST)
                ? QueueTimeouts.headStartMillis(
                        assignment.onTimeMillis(), rankAverages.holdTimeRatio(demand.tierRank(), holdMillis))
                : 0;
        return new QueuedPlacement(request, key, assignment, headStartMillis, nowMillis);
    }

    void reportInFlight(String process, RunListPart part, Map<Long, RunningRequests.Run> runs, long nowMillis) {
        paces.advanceTo(nowMillis);
        running.reconcile(process, part, runs, nowMillis);
        removeEndedGrants(process, nowMillis);
        observedShares.record(process, part, runs, id -> grants.containsKey(new RequestKey(process, id)), nowMillis);
    }

    /** Removes the grants of a process whose requests are no longer in flight. */
    private void removeEndedGrants(String process, long nowMillis) {
        grants.entrySet().removeIf(entry -> {
            RequestKey key = entry.getKey();
            boolean ended = key.requester().equals(process)
                    && running.find(process, key.id()).isEmpty();
            if (ended) {
                entry.getValue().charge().ended(nowMillis);
            }
            return ended;
        });
    }

    private boolean admitQuota(PlacementRequest request, long nowMillis) {
        return request.organisation().isEmpty()
                || dependencies
                        .quotas()
                        .tryAdmitFor(
                                request.requester(), request.organisation().get(), request.quotaTokens(), nowMillis);
    }

    void reportProgress(String process, long id, RunEvent event, long tookMillis, int events, long nowMillis) {
        paces.advanceTo(nowMillis);
        RequestKey key = new RequestKey(process, id);
        Optional<RunningRequests.Run> known = running.find(key.requester(), key.id());
        if (event == RunEvent.RUN_STALLED) {
            known.ifPresent(run -> reportSilence(run.targetId(), process, nowMillis));
            return;
        }
        if (event == RunEvent.RUN_FIRST_EVENT || event == RunEvent.RUN_ANSWERED || event == RunEvent.RUN_RESUMED) {
            known.ifPresent(run -> recordActivity(run.targetId(), nowMillis));
        }
        if (event == RunEvent.RUN_RESUMED) {
            queue.advance(nowMillis);
            return;
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
                paces.recordFirstEvent(grant.candidate().state().target().id(), grant.start());
                recordFirstEvent(key, grant, tookMillis);
            }
            return;
        }
        grants.remove(key);
        if (grant != null && event == RunEvent.RUN_ANSWERED) {
            paces.recordAnswer(grant.candidate().state(), grant.start(), tookMillis, events);
        }
        Optional<RunningRequests.Run> run = running.recordEnd(key.requester(), key.id());
        if (run.isPresent() && event == RunEvent.RUN_SILENT) {
            reportSilence(run.get().targetId(), process, nowMillis);
        } else if (run.isPresent() && !key.requester().equals(dependencies.localName())) {
            reportOutcome(run.get().targetId(), process, event);
        }
        if (grant != null) {
            grant.charge().ended(nowMillis);
            recordEnd(key, grant, event, tookMillis, nowMillis);
        }
        queue.advance(nowMillis);
    }

    private void recordFirstEvent(RequestKey key, Grant grant, long tookMillis) {
        if (tookMillis > 0 && !key.requester().equals(dependencies.localName())) {
            Candidate candidate = grant.candidate();
            candidate.state().health().recordAnswerStart();
            candidate.state().speed().recordFirstEvent(candidate.tokensAhead(), candidate.occupancy(), tookMillis);
        }
    }

    private void recordEnd(RequestKey key, Grant grant, RunEvent event, long tookMillis, long nowMillis) {
        TargetState state = grant.candidate().state();
        long answerTokens = grant.request().demand().expectedAnswerTokens();
        if (event == RunEvent.RUN_ANSWERED
                && tookMillis > 0
                && answerTokens > 0
                && !key.requester().equals(dependencies.localName())) {
            state.speed().recordAnswer(answerTokens, tookMillis);
        }
        if (event == RunEvent.RUN_REFUSED) {
            state.recordFullRejection(nowMillis);
        }
    }

    /**
     * Reports a silent target as failed, or as erroneous if it has recently answered another request. A process has
     * only one or two requests at a target and receives nothing for seconds if its long prompt waits behind others at a
     * slow engine. If a single report ejected the target, a working engine would be lost when its slots are needed
     * most.
     */
    private void reportSilence(String targetId, String reporter, long nowMillis) {
        Long activeAtMillis =
                dependencies.policy().isEnabled(Mechanism.SILENCE_TO_ALL) ? lastActivityAtMillis.get(targetId) : null;
        if (activeAtMillis != null && nowMillis - activeAtMillis <= TARGET_ACTIVITY_TIMEOUT_MILLIS) {
            dependencies.targetOutcomeListener().erred(targetId);
        } else {
            dependencies.targetOutcomeListener().silent(targetId, reporter);
        }
    }

    private void recordActivity(String targetId, long nowMillis) {
        lastActivityAtMillis.put(targetId, nowMillis);
        dependencies.targetOutcomeListener().resumed(targetId);
    }

    private void reportOutcome(String targetId, String reporter, RunEvent event) {
        switch (event) {
            case RUN_ANSWERED -> dependencies.targetOutcomeListener().answered(targetId);
            case RUN_REFUSED, RUN_ERRED -> dependencies.targetOutcomeListener().erred(targetId);
            case RUN_UNREACHABLE -> dependencies.targetOutcomeListener().failed(targetId, true, reporter);
            case RUN_BROKEN -> dependencies.targetOutcomeListener().failed(targetId, false, reporter);
            default -> {
                // The caller disconnected or the outcome is unknown, which says nothing about the target.
            }
        }
    }

    private RejectionDetails queueRejection(QueuedPlacement rejected, long nowMillis) {
        int rank = rejected.tierRank();
        boolean scheduling = dependencies.policy().isEnabled(Mechanism.SCHEDULED_RETURNS);
        long backlogAgeMillis =
                scheduling ? queue.backlogAgeAheadMillis(rank, nowMillis) : queue.backlogAgeMillis(rank, nowMillis);
        long ageForRetryMillis = dependencies.policy().isEnabled(Mechanism.ADVICE_BY_STANDING) ? backlogAgeMillis : 0;
        int queuedAhead = queue.queuedAhead(rejected, nowMillis);
        long earliestMillis = Math.max(
                QueueTimeouts.retryAfterMillis(
                        ageForRetryMillis, dependencies.random().getAsDouble()),
                statedRatesAllowInMillis(queuedAhead, nowMillis));
        boolean scheduled = scheduling && backlogAgeMillis > 0;
        return new RejectionDetails(
                scheduled ? scheduledMillis(rejected, earliestMillis, nowMillis) : earliestMillis,
                queuedAhead,
                estimatedWaitMillis(queuedAhead, rank, nowMillis),
                backlogAgeMillis,
                0);
    }

    /** Returns when the targets take a request behind those ahead of it by the rates that all of them state. */
    private long statedRatesAllowInMillis(int queuedAhead, long nowMillis) {
        return Math.min(
                QueueTimeouts.MAX_RETRY_AFTER_MILLIS,
                dependencies
                        .statedRates()
                        .takenInMillis(dependencies.targets().apply(service), queuedAhead + 1, nowMillis));
    }

    private long scheduledMillis(QueuedPlacement rejected, long earliestMillis, long nowMillis) {
        return returnSchedule.retryAfterMillis(
                rejected.request.demand().tierRank(),
                earliestMillis,
                shareRoomInMillis(rejected),
                rejected.request.deadlineAtMillis(),
                waitEstimator.placedPerSecond(nowMillis),
                nowMillis);
    }

    /** Returns how long the share of a request's organisation has no room for it; 0 if shares do not apply. */
    private long shareRoomInMillis(QueuedPlacement rejected) {
        int rank = rejected.tierRank();
        boolean shared = dependencies.policy().isEnabled(Mechanism.ORGANISATION_SHARES) && shares.isShared(rank);
        return shared
                ? Math.min(
                        QueueTimeouts.MAX_RETRY_AFTER_MILLIS, shares.roomInMillis(rank, rejected.organisationDigest()))
                : 0;
    }

    private RejectionDetails quotaRejection(String organisation, long nowMillis) {
        QuotaLedger quotas = dependencies.quotas();
        return new RejectionDetails(
                quotas.coordinatorRetryAfterMillis(organisation), 0, 0, 0, quotas.levelTokens(organisation, nowMillis));
    }

    private long estimatedWaitMillis(int queuedAhead, int rank, long nowMillis) {
        return waitEstimator.estimatedWaitMillis(
                queuedAhead, dependencies.policy().isEnabled(Mechanism.PACE_BY_RANK) ? rank : 0, nowMillis);
    }

    /** A placement request in the queue. */
    private final class QueuedPlacement implements QueuedRequest {
        private final PlacementRequest request;
        private final RequestKey key;
        private final int queueRank;
        private final long onTimeUntilMillis;
        private final long orderMillis;
        private final long backlogTimeoutAtMillis;
        private final int organisationDigest;
        private final double expectedSlotMillis;

        QueuedPlacement(
                PlacementRequest request,
                RequestKey key,
                JoinedRanks.Assignment assignment,
                long headStartMillis,
                long nowMillis) {
            this.request = request;
            this.key = key;
            queueRank = assignment.rank();
            organisationDigest =
                    request.sharingOrganisation().map(String::hashCode).orElse(0);
            expectedSlotMillis = Math.max(
                    1,
                    TargetSpeed.assumedSlotMillis(
                            request.demand().promptTokens(), request.demand().expectedAnswerTokens()));
            onTimeUntilMillis = nowMillis + assignment.onTimeMillis();
            orderMillis = nowMillis - headStartMillis;
            // A request that failed at a target was already accepted and is late, so a backlog does not shorten its
            // timeout.
            backlogTimeoutAtMillis = assignment.onTimeMillis() <= 0
                    ? request.queueTimeoutAtMillis()
                    : nowMillis + QueueTimeouts.backlogTimeoutMillis(assignment.onTimeMillis());
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
        public long orderMillis() {
            return orderMillis;
        }

        @Override
        public String requiredModel() {
            return request.demand().model();
        }

        @Override
        public boolean needsOneVersion() {
            return request.demand().requiredVersion().isPresent();
        }

        @Override
        public int organisationDigest() {
            return organisationDigest;
        }

        @Override
        public double expectedSlotMillis() {
            return expectedSlotMillis;
        }

        @Override
        public DispatchResult tryDispatch(long nowMillis) {
            Assessment assessment = assess(request, nowMillis);
            if (assessment.quarantined()) {
                queuedRequests.remove(key);
                refundQuota();
                dependencies.decisionListener().quarantined(request, assessment.retryAfterMillis());
                return DispatchResult.REJECTED;
            }
            Collection<TargetState> targets = dependencies.targets().apply(service);
            Optional<Fingerprint> suspect = request.suspect().filter(fingerprint -> assessment.suspect());
            if (suspect.isPresent() && isolation.mustWait(suspect.get(), assessment, targets, nowMillis)) {
                return DispatchResult.HELD;
            }
            Demand demand = ImmutableDemand.copyOf(request.demand())
                    .withTierRank(queueRank)
                    .withRemainingMillis(request.deadlineAtMillis() - nowMillis);
            Optional<Candidate> selected = select(isolation.alternatives(demand, assessment, nowMillis), nowMillis);
            if (selected.isEmpty()) {
                // Other requests may use the targets that a suspect or a resumed stream must not.
                return suspect.isPresent() || needsOneVersion() ? DispatchResult.HELD : DispatchResult.NO_TARGET;
            }
            if (!assessment.strongSuspect() && shouldWaitForFasterTarget(selected.get(), demand, nowMillis)) {
                return DispatchResult.HELD;
            }
            grant(selected.get(), suspect, nowMillis);
            return DispatchResult.SENT;
        }

        /** Selects a target by the first of the given requirements that any target meets. */
        private Optional<Candidate> select(List<Demand> alternatives, long nowMillis) {
            Collection<TargetState> targets = dependencies.targets().apply(service);
            Set<String> evacuated = dependencies.evacuatedDataCentres().get();
            return alternatives.stream()
                    .map(demand -> dependencies.targetSelector().select(demand, targets, evacuated, nowMillis))
                    .flatMap(Optional::stream)
                    .findFirst();
        }

        /**
         * Tells whether the request would be late or cut off at the best free target but not at a full one. A slow
         * engine takes a second to read a long prompt, while a slot of a fast engine frees within tens of milliseconds.
         * The slow engine stays free for short requests, for which it is as good as any other.
         */
        private boolean shouldWaitForFasterTarget(Candidate candidate, Demand demand, long nowMillis) {
            long onTimeLeftMillis = request.onTimeUntilMillis() - nowMillis;
            if (onTimeLeftMillis <= 0) {
                return false;
            }
            TargetSelector selector = dependencies.targetSelector();
            Collection<TargetState> targets = dependencies.targets().apply(service);
            Set<String> evacuated = dependencies.evacuatedDataCentres().get();
            if (dependencies.policy().isEnabled(Mechanism.HELD_TO_END_IN_TIME)
                    && !selector.endsInTime(demand, candidate)
                    && selector.anyTargetEndsInTime(demand, targets, evacuated, nowMillis)) {
                return true;
            }
            return dependencies.policy().isEnabled(Mechanism.HELD_FOR_FASTER)
                    && candidate.firstEventMillis() > onTimeLeftMillis
                    && selector.anyTargetWithin(demand, targets, evacuated, onTimeLeftMillis, nowMillis);
        }

        private void grant(Candidate candidate, Optional<Fingerprint> suspect, long nowMillis) {
            queuedRequests.remove(key);
            waitEstimator.recordPlacement(queueRank, nowMillis);
            String targetId = candidate.state().target().id();
            running.recordGrant(
                    key.requester(),
                    key.id(),
                    new RunningRequests.Run(
                            targetId,
                            candidate.uncachedTokens(),
                            suspect,
                            organisationDigest,
                            request.demand().tierRank()),
                    nowMillis);
            dependencies.targetSelector().recordDispatch(candidate, nowMillis);
            dependencies.promptCache().recordPrefill(request.demand().promptParts(), targetId, nowMillis);
            ShareCharge charge = shares.charge(queueRank, this, nowMillis);
            grants.put(key, new Grant(request, candidate, charge, new PaceObserver.Start()));
            dependencies.decisionListener().granted(request, candidate);
        }

        @Override
        public void reject(long nowMillis) {
            queuedRequests.remove(key);
            refundQuota();
            reportLimited(nowMillis);
            dependencies.decisionListener().shed(request, queueRejection(this, nowMillis));
        }

        /** Reports that the request is refused because its organisation has used its share. */
        void reportLimited(long nowMillis) {
            shares.refused(queueRank, this, nowMillis)
                    .ifPresent(use -> dependencies
                            .shareListener()
                            .limited(service, request.sharingOrganisation().orElse(""), use));
        }

        void refundQuota() {
            request.organisation()
                    .ifPresent(
                            name -> dependencies.quotas().refundFor(request.requester(), name, request.quotaTokens()));
        }
    }
}
