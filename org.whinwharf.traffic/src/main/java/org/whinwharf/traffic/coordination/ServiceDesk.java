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
import org.whinwharf.traffic.waiting.Pace;
import org.whinwharf.traffic.waiting.QueueTimeouts;
import org.whinwharf.traffic.waiting.QueuedRequest;
import org.whinwharf.traffic.waiting.RequestQueue;
import org.whinwharf.wire.fleet.RunEvent;

/** The waiting line, the grants and the requests under way of one service, as its coordinator knows them. */
final class ServiceDesk {
    /** Requests that wait for one service. At the rate of a fleet of ninety, more would outwait their patience. */
    private static final int MOST_WAITING = 1_024;
    /** Requests ahead below which none is refused on arrival: the pace of so few says little. */
    private static final int FEW_WAITING = 4;
    /**
     * Time since a target last began or ended an answer, for whomever, within which it does not hang. A full engine
     * ends some ten answers in it, a slow one three.
     */
    private static final long SPOKE_LATELY_MILLIS = 1_000;

    private final CoordinatorDependencies parts;
    private final String service;
    private final RequestQueue line;
    private final RunningRequests running;
    private final Pace pace = new Pace();
    private final JoinedRanks ranks = new JoinedRanks();
    private final Map<AskKey, QueuedAsk> waiting = new HashMap<>();
    private final Map<AskKey, Grant> grants = new LinkedHashMap<>();
    private final Map<String, Long> spokeAtMillis = new HashMap<>();

    private record AskKey(String requester, long id) {}

    private record Grant(PlacementRequest ask, Candidate candidate) {}

    ServiceDesk(CoordinatorDependencies parts, String service) {
        this.parts = parts;
        this.service = service;
        line = new RequestQueue(MOST_WAITING, parts.policy());
        running = new RunningRequests(parts.loadListener());
    }

    /** Returns how many requests wait. */
    int waiting() {
        return line.size();
    }

    /** Sends and refuses what waits, and drops the requests of processes that fell silent. */
    void advance(long nowMillis) {
        running.dropSilent(nowMillis).forEach(this::dropGrants);
        spokeAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > SPOKE_LATELY_MILLIS);
        line.advance(nowMillis);
    }

    void ask(PlacementRequest ask, long nowMillis) {
        AskKey key = new AskKey(ask.requester(), ask.id());
        Grant grant = grants.get(key);
        if (grant != null) {
            parts.decisionListener().granted(ask, grant.candidate());
            return;
        }
        if (waiting.containsKey(key)) {
            parts.decisionListener().queued(ask);
            return;
        }
        QueuedAsk queued = new QueuedAsk(ask, key, place(ask, nowMillis), nowMillis);
        if (hopeless(queued, nowMillis)) {
            parts.decisionListener().shed(ask, grounds(queued.tierRank(), nowMillis));
            return;
        }
        if (!admit(ask, nowMillis)) {
            parts.decisionListener()
                    .overQuota(ask, quotaGrounds(ask.organisation().orElseThrow(), nowMillis));
            return;
        }
        if (!line.hasQueuedAhead(queued.tierRank())
                && !queued.tryDispatch(nowMillis).stillQueued()) {
            return;
        }
        waiting.put(key, queued);
        parts.decisionListener().queued(ask);
        line.add(queued, nowMillis);
    }

    /**
     * Tells whether a request would only wait to be refused. It is refused on arrival then: its caller can come back
     * the sooner, and a long line of such requests keeps nobody who has a chance.
     */
    private boolean hopeless(QueuedAsk queued, long nowMillis) {
        int ahead = line.queuedAhead(queued.tierRank(), nowMillis);
        long keptMillis = line.effectiveTimeoutAtMillis(queued, nowMillis) - nowMillis;
        return parts.policy().isEnabled(Mechanism.REFUSAL_ON_ARRIVAL)
                && ahead >= FEW_WAITING
                && predictedWaitMillis(ahead, queued.tierRank(), nowMillis) > keptMillis;
    }

    private JoinedRanks.Place place(PlacementRequest ask, long nowMillis) {
        Demand demand = ask.demand();
        long onTimeMillis = ask.onTimeUntilMillis() - nowMillis;
        if (!parts.policy().isEnabled(Mechanism.JOINED_RANKS)) {
            return new JoinedRanks.Place(demand.tierRank(), onTimeMillis);
        }
        return ranks.place(
                demand.tierRank(),
                TargetSpeed.assumedHoldMillis(demand.promptTokens(), demand.maxAnswerTokens()),
                onTimeMillis);
    }

    void underWay(String process, Map<Long, RunningRequests.Run> runs, long nowMillis) {
        running.replace(process, runs, nowMillis);
        dropGrants(process);
    }

    /** Forgets the grants of a process whose requests are no longer under way. */
    private void dropGrants(String process) {
        grants.keySet()
                .removeIf(key -> key.requester().equals(process)
                        && running.find(process, key.id()).isEmpty());
    }

    private boolean admit(PlacementRequest ask, long nowMillis) {
        return ask.organisation().isEmpty()
                || parts.quotas()
                        .tryAdmitFor(ask.requester(), ask.organisation().get(), ask.quotaTokens(), nowMillis);
    }

    void progress(String process, long id, RunEvent event, long tookMillis, long nowMillis) {
        AskKey key = new AskKey(process, id);
        Optional<RunningRequests.Run> known = running.find(key.requester(), key.id());
        if (event == RunEvent.RUN_STALLED) {
            known.ifPresent(run -> judgeSilence(run.targetId(), nowMillis));
            return;
        }
        if (event == RunEvent.RUN_FIRST_EVENT || event == RunEvent.RUN_ANSWERED) {
            known.ifPresent(run -> spokeAtMillis.put(run.targetId(), nowMillis));
        }
        QueuedAsk queued = waiting.remove(key);
        if (queued != null) {
            line.remove(queued);
            queued.refund();
        }
        Grant grant = grants.get(key);
        if (event == RunEvent.RUN_FIRST_EVENT) {
            running.prefilled(key.requester(), key.id());
            if (grant != null) {
                firstEvent(key, grant, tookMillis);
            }
            return;
        }
        grants.remove(key);
        Optional<RunningRequests.Run> run = running.ended(key.requester(), key.id());
        if (run.isPresent() && event == RunEvent.RUN_SILENT) {
            judgeSilence(run.get().targetId(), nowMillis);
        } else if (run.isPresent() && !key.requester().equals(parts.localName())) {
            judge(run.get().targetId(), event);
        }
        if (grant != null) {
            ended(key, grant, event, tookMillis, nowMillis);
        }
        line.advance(nowMillis);
    }

    private void firstEvent(AskKey key, Grant grant, long tookMillis) {
        if (tookMillis > 0 && !key.requester().equals(parts.localName())) {
            Candidate candidate = grant.candidate();
            candidate.state().health().answering();
            candidate.state().speed().observed(candidate.tokensAhead(), candidate.occupancy(), tookMillis);
        }
    }

    private void ended(AskKey key, Grant grant, RunEvent event, long tookMillis, long nowMillis) {
        TargetState state = grant.candidate().state();
        long answerTokens = grant.ask().demand().maxAnswerTokens();
        if (event == RunEvent.RUN_ANSWERED
                && tookMillis > 0
                && answerTokens > 0
                && !key.requester().equals(parts.localName())) {
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
    private void judgeSilence(String targetId, long nowMillis) {
        Long spokeMillis = parts.policy().isEnabled(Mechanism.SILENCE_TO_ALL) ? spokeAtMillis.get(targetId) : null;
        if (spokeMillis != null && nowMillis - spokeMillis <= SPOKE_LATELY_MILLIS) {
            parts.targetOutcomeListener().erred(targetId);
        } else {
            parts.targetOutcomeListener().failed(targetId, true);
        }
    }

    private void judge(String targetId, RunEvent event) {
        switch (event) {
            case RUN_ANSWERED -> parts.targetOutcomeListener().answered(targetId);
            case RUN_REFUSED, RUN_ERRED -> parts.targetOutcomeListener().erred(targetId);
            case RUN_UNREACHABLE -> parts.targetOutcomeListener().failed(targetId, true);
            case RUN_BROKEN -> parts.targetOutcomeListener().failed(targetId, false);
            default -> {
                // The caller left, or nothing is known: no word on the target.
            }
        }
    }

    private RejectionDetails grounds(int rank, long nowMillis) {
        long standingMillis = line.backlogAgeMillis(rank, nowMillis);
        long adviceMillis = parts.policy().isEnabled(Mechanism.ADVICE_BY_STANDING) ? standingMillis : 0;
        int ahead = line.queuedAhead(rank, nowMillis);
        return new RejectionDetails(
                QueueTimeouts.retryAfterMillis(adviceMillis, parts.random().getAsDouble()),
                ahead,
                predictedWaitMillis(ahead, rank, nowMillis),
                standingMillis,
                0);
    }

    private RejectionDetails quotaGrounds(String organisation, long nowMillis) {
        QuotaLedger quotas = parts.quotas();
        return new RejectionDetails(
                quotas.comeBackMillis(organisation), 0, 0, 0, quotas.levelTokens(organisation, nowMillis));
    }

    private long predictedWaitMillis(int ahead, int rank, long nowMillis) {
        return pace.waitMillis(ahead, parts.policy().isEnabled(Mechanism.PACE_BY_RANK) ? rank : 0, nowMillis);
    }

    /** One ask that waits. */
    private final class QueuedAsk implements QueuedRequest {
        private final PlacementRequest ask;
        private final AskKey key;
        private final int lineRank;
        private final long onTimeUntilMillis;
        private final long standingUntilMillis;

        QueuedAsk(PlacementRequest ask, AskKey key, JoinedRanks.Place place, long nowMillis) {
            this.ask = ask;
            this.key = key;
            lineRank = place.rank();
            onTimeUntilMillis = nowMillis + place.onTimeMillis();
            // A request that failed at a target was accepted once and is late already; it is not turned away
            // lightly.
            standingUntilMillis = place.onTimeMillis() <= 0
                    ? ask.queueTimeoutAtMillis()
                    : nowMillis + QueueTimeouts.backlogTimeoutMillis(place.onTimeMillis());
        }

        @Override
        public long backlogTimeoutAtMillis() {
            return standingUntilMillis;
        }

        @Override
        public int tierRank() {
            return lineRank;
        }

        @Override
        public long queueTimeoutAtMillis() {
            return ask.queueTimeoutAtMillis();
        }

        @Override
        public long onTimeUntilMillis() {
            return onTimeUntilMillis;
        }

        @Override
        public String requiredModel() {
            return ask.demand().model();
        }

        @Override
        public DispatchResult tryDispatch(long nowMillis) {
            ImmutableDemand demand = ImmutableDemand.copyOf(ask.demand())
                    .withTierRank(lineRank)
                    .withRemainingMillis(ask.deadlineAtMillis() - nowMillis);
            Optional<Candidate> chosen = parts.targetSelector()
                    .select(
                            demand,
                            parts.targets().apply(service),
                            parts.evacuatedDataCentres().get(),
                            nowMillis);
            if (chosen.isEmpty()) {
                return DispatchResult.NO_TARGET;
            }
            if (missesObjective(chosen.get(), demand, nowMillis)) {
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
        private boolean missesObjective(Candidate candidate, Demand demand, long nowMillis) {
            long leftMillis = ask.onTimeUntilMillis() - nowMillis;
            return leftMillis > 0
                    && candidate.firstEventMillis() > leftMillis
                    && parts.targetSelector()
                            .anyTargetWithin(
                                    demand,
                                    parts.targets().apply(service),
                                    parts.evacuatedDataCentres().get(),
                                    leftMillis,
                                    nowMillis);
        }

        private void grant(Candidate candidate, long nowMillis) {
            waiting.remove(key);
            pace.placed(lineRank, nowMillis);
            String targetId = candidate.state().target().id();
            running.granted(
                    key.requester(),
                    key.id(),
                    new RunningRequests.Run(targetId, candidate.uncachedTokens()),
                    nowMillis);
            candidate.recordDispatch(nowMillis);
            parts.promptCache().reads(ask.demand().promptParts(), targetId, nowMillis);
            grants.put(key, new Grant(ask, candidate));
            parts.decisionListener().granted(ask, candidate);
        }

        @Override
        public void reject(long nowMillis) {
            waiting.remove(key);
            refund();
            parts.decisionListener().shed(ask, grounds(lineRank, nowMillis));
        }

        void refund() {
            ask.organisation().ifPresent(name -> parts.quotas().refundFor(ask.requester(), name, ask.quotaTokens()));
        }
    }
}
