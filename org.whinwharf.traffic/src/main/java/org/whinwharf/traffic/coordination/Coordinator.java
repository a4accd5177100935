package org.whinwharf.traffic.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.placement.Placement;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.target.PromptCache;
import org.whinwharf.traffic.target.TargetSpeed;
import org.whinwharf.traffic.target.TargetState;
import org.whinwharf.traffic.waiting.Attempt;
import org.whinwharf.traffic.waiting.JoinedRanks;
import org.whinwharf.traffic.waiting.Pace;
import org.whinwharf.traffic.waiting.Patience;
import org.whinwharf.traffic.waiting.Waiter;
import org.whinwharf.traffic.waiting.WaitingLine;
import org.whinwharf.wire.fleet.RunEvent;

/**
 * Places the requests of services for all processes of the fleet.
 *
 * <p>Sixty processes that each place a few requests a second on their own counts pick the same engine together, read
 * each prompt on many engines, and learn an engine's speed too late. One that places all of them sees every request at
 * every engine, keeps one waiting line by tier, and remembers where each prompt was read. It holds nothing that must
 * not be lost: another process takes over with what the others tell it they have under way.
 */
public final class Coordinator {
    /** Requests that wait for one service. At the rate of a fleet of ninety, more would outwait their patience. */
    private static final int MOST_WAITING = 1_024;
    /** Requests ahead below which none is refused on arrival: the pace of so few says little. */
    private static final int FEW_WAITING = 4;
    /**
     * Time since a target last began or ended an answer, for whomever, within which it does not hang. A full engine
     * ends some ten answers in it, a slow one three.
     */
    private static final long SPOKE_LATELY_MILLIS = 1_000;

    private final String ownName;
    private final Placement placement;
    private final Function<String, Collection<TargetState>> targets;
    private final Supplier<Set<String>> evacuated;
    private final PromptCache prompts;
    private final QuotaLedger quotas;
    private final TargetReports reports;
    private final Outbox outbox;
    private final DoubleSupplier random;
    private final LoadListener loads;
    private final Policy policy;
    private final Map<String, ServiceDesk> desks = new HashMap<>();

    private record AskKey(String requester, long id) {}

    private record Grant(Ask ask, Candidate candidate) {}

    private Coordinator(Builder builder) {
        ownName = builder.ownName;
        placement = builder.placement;
        targets = builder.targets;
        evacuated = builder.evacuated;
        prompts = builder.prompts;
        quotas = builder.quotas;
        reports = builder.reports;
        outbox = builder.outbox;
        random = builder.random;
        loads = builder.loads;
        policy = builder.policy;
    }

    /**
     * Takes an ask; the same ask again gets the same decision again.
     *
     * @param ask the ask
     * @param nowMillis steady time in milliseconds
     */
    public void ask(Ask ask, long nowMillis) {
        desk(ask.demand().service()).ask(ask, nowMillis);
    }

    /**
     * Takes what became of a request.
     *
     * @param process who sent it
     * @param id id of its ask
     * @param event what happened
     * @param tookMillis time to the first event, or from the first event to the last; 0 when it says nothing
     * @param nowMillis steady time in milliseconds
     */
    public void progress(String process, long id, RunEvent event, long tookMillis, long nowMillis) {
        AskKey key = new AskKey(process, id);
        desks.values().forEach(desk -> desk.progress(key, event, tookMillis, nowMillis));
    }

    /**
     * Takes everything that a process has under way at the targets of a service.
     *
     * @param process who says it
     * @param service name of the service
     * @param runs its requests, by the ids of their asks
     * @param nowMillis steady time in milliseconds
     */
    public void underWay(String process, String service, Map<Long, RunningRequests.Run> runs, long nowMillis) {
        desk(service).underWay(process, runs, nowMillis);
    }

    /**
     * Sends and refuses what waits, and drops the requests of processes that fell silent.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void advance(long nowMillis) {
        desks.values().forEach(desk -> {
            desk.running.dropSilent(nowMillis).forEach(desk::dropGrants);
            desk.line.advance(nowMillis);
        });
    }

    /**
     * Returns how many requests wait.
     *
     * @return requests of all services
     */
    public int waiting() {
        return desks.values().stream().mapToInt(desk -> desk.line.size()).sum();
    }

    private ServiceDesk desk(String service) {
        return desks.computeIfAbsent(service, ServiceDesk::new);
    }

    /** What is known of one service. */
    private final class ServiceDesk {
        private final String service;
        private final WaitingLine line = new WaitingLine(MOST_WAITING, policy);
        private final Pace pace = new Pace();
        private final JoinedRanks ranks = new JoinedRanks();
        private final RunningRequests running = new RunningRequests(loads);
        private final Map<AskKey, QueuedAsk> waiting = new HashMap<>();
        private final Map<AskKey, Grant> grants = new LinkedHashMap<>();
        private final Map<String, Long> spokeAtMillis = new HashMap<>();

        ServiceDesk(String service) {
            this.service = service;
        }

        void ask(Ask ask, long nowMillis) {
            AskKey key = new AskKey(ask.requester(), ask.id());
            Grant grant = grants.get(key);
            if (grant != null) {
                outbox.granted(ask, grant.candidate());
                return;
            }
            if (waiting.containsKey(key)) {
                outbox.waiting(ask);
                return;
            }
            QueuedAsk queued = new QueuedAsk(ask, key, place(ask, nowMillis), nowMillis);
            if (hopeless(queued, nowMillis)) {
                outbox.shed(ask, grounds(queued.tierRank(), nowMillis));
                return;
            }
            if (!admit(ask, nowMillis)) {
                String organisation = ask.organisation().orElseThrow();
                long comeBackMillis = quotas.comeBackMillis(organisation);
                outbox.overQuota(
                        ask, new RefusalGrounds(comeBackMillis, 0, 0, 0, quotas.levelTokens(organisation, nowMillis)));
                return;
            }
            if (!line.hasAhead(queued.tierRank()) && !queued.trySend(nowMillis).waits()) {
                return;
            }
            waiting.put(key, queued);
            outbox.waiting(ask);
            line.add(queued, nowMillis);
        }

        /**
         * Tells whether a request would only wait to be refused. It is refused on arrival then: its caller can come
         * back the sooner, and a long line of such requests keeps nobody who has a chance.
         */
        private boolean hopeless(QueuedAsk queued, long nowMillis) {
            int ahead = line.ahead(queued.tierRank(), nowMillis);
            long keptMillis = line.keptUntilMillis(queued, nowMillis) - nowMillis;
            return policy.uses(Mechanism.REFUSAL_ON_ARRIVAL)
                    && ahead >= FEW_WAITING
                    && predictedWaitMillis(ahead, queued.tierRank(), nowMillis) > keptMillis;
        }

        private JoinedRanks.Place place(Ask ask, long nowMillis) {
            Demand demand = ask.demand();
            long onTimeMillis = ask.onTimeUntilMillis() - nowMillis;
            if (!policy.uses(Mechanism.JOINED_RANKS)) {
                return new JoinedRanks.Place(demand.tierRank(), onTimeMillis);
            }
            return ranks.place(
                    demand.tierRank(),
                    TargetSpeed.assumedHoldMillis(demand.promptTokens(), demand.answerTokens()),
                    onTimeMillis);
        }

        void underWay(String process, Map<Long, RunningRequests.Run> runs, long nowMillis) {
            running.replace(process, runs, nowMillis);
            dropGrants(process);
        }

        /** Forgets the grants of a process whose requests are no longer under way. */
        void dropGrants(String process) {
            grants.keySet()
                    .removeIf(key -> key.requester().equals(process)
                            && running.find(process, key.id()).isEmpty());
        }

        private boolean admit(Ask ask, long nowMillis) {
            return ask.organisation().isEmpty()
                    || quotas.tryAdmitFor(ask.requester(), ask.organisation().get(), ask.quotaTokens(), nowMillis);
        }

        void progress(AskKey key, RunEvent event, long tookMillis, long nowMillis) {
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
            } else if (run.isPresent() && !key.requester().equals(ownName)) {
                judge(run.get().targetId(), event);
            }
            if (grant != null) {
                ended(key, grant, event, tookMillis, nowMillis);
            }
            line.advance(nowMillis);
        }

        private void firstEvent(AskKey key, Grant grant, long tookMillis) {
            if (tookMillis > 0 && !key.requester().equals(ownName)) {
                Candidate candidate = grant.candidate();
                candidate.state().health().answering();
                candidate.state().speed().observed(candidate.tokensAhead(), candidate.occupancy(), tookMillis);
            }
        }

        private void ended(AskKey key, Grant grant, RunEvent event, long tookMillis, long nowMillis) {
            TargetState state = grant.candidate().state();
            long answerTokens = grant.ask().demand().answerTokens();
            if (event == RunEvent.RUN_ANSWERED
                    && tookMillis > 0
                    && answerTokens > 0
                    && !key.requester().equals(ownName)) {
                state.speed().answered(answerTokens, tookMillis);
            }
            if (event == RunEvent.RUN_REFUSED) {
                state.refusedAsFull(nowMillis);
            }
        }

        /**
         * Takes a target that hangs out of use. One process has a request or two at a target and hears nothing for
         * seconds where a long prompt waits behind others at a slow engine; ejected by that word alone, an engine that
         * works would be lost when its slots are needed most. If it speaks with others, the silence counts as an error.
         */
        private void judgeSilence(String targetId, long nowMillis) {
            Long spokeMillis = policy.uses(Mechanism.SILENCE_TO_ALL) ? spokeAtMillis.get(targetId) : null;
            if (spokeMillis != null && nowMillis - spokeMillis <= SPOKE_LATELY_MILLIS) {
                reports.erred(targetId);
            } else {
                reports.failed(targetId, true);
            }
        }

        private void judge(String targetId, RunEvent event) {
            switch (event) {
                case RUN_ANSWERED -> reports.answered(targetId);
                case RUN_REFUSED, RUN_ERRED -> reports.erred(targetId);
                case RUN_UNREACHABLE -> reports.failed(targetId, true);
                case RUN_BROKEN -> reports.failed(targetId, false);
                default -> {
                    // The caller left, or nothing is known: no word on the target.
                }
            }
        }

        private RefusalGrounds grounds(int rank, long nowMillis) {
            long standingMillis = line.standingMillis(rank, nowMillis);
            long adviceMillis = policy.uses(Mechanism.ADVICE_BY_STANDING) ? standingMillis : 0;
            int ahead = line.ahead(rank, nowMillis);
            return new RefusalGrounds(
                    Patience.comeBackMillis(adviceMillis, random.getAsDouble()),
                    ahead,
                    predictedWaitMillis(ahead, rank, nowMillis),
                    standingMillis,
                    0);
        }

        private long predictedWaitMillis(int ahead, int rank, long nowMillis) {
            return pace.waitMillis(ahead, policy.uses(Mechanism.PACE_BY_RANK) ? rank : 0, nowMillis);
        }

        /** One ask that waits. */
        private final class QueuedAsk implements Waiter {
            private final Ask ask;
            private final AskKey key;
            private final int lineRank;
            private final long onTimeUntilMillis;
            private final long standingUntilMillis;

            QueuedAsk(Ask ask, AskKey key, JoinedRanks.Place place, long nowMillis) {
                this.ask = ask;
                this.key = key;
                lineRank = place.rank();
                onTimeUntilMillis = nowMillis + place.onTimeMillis();
                // A request that failed at a target was accepted once and is late already; it is not turned away
                // lightly.
                standingUntilMillis = place.onTimeMillis() <= 0
                        ? ask.patienceUntilMillis()
                        : nowMillis + Patience.standingMillis(place.onTimeMillis());
            }

            @Override
            public long standingUntilMillis() {
                return standingUntilMillis;
            }

            @Override
            public int tierRank() {
                return lineRank;
            }

            @Override
            public long patienceUntilMillis() {
                return ask.patienceUntilMillis();
            }

            @Override
            public long onTimeUntilMillis() {
                return onTimeUntilMillis;
            }

            @Override
            public String needs() {
                return ask.demand().model();
            }

            @Override
            public Attempt trySend(long nowMillis) {
                ImmutableDemand demand = ImmutableDemand.copyOf(ask.demand())
                        .withTierRank(lineRank)
                        .withRemainingMillis(ask.deadlineAtMillis() - nowMillis);
                Optional<Candidate> chosen =
                        placement.choose(demand, targets.apply(service), evacuated.get(), nowMillis);
                if (chosen.isEmpty()) {
                    return Attempt.NO_TARGET;
                }
                if (missesObjective(chosen.get(), demand, nowMillis)) {
                    return Attempt.HELD;
                }
                grant(chosen.get(), nowMillis);
                return Attempt.SENT;
            }

            /**
             * Tells whether the request would be late at the best target that is free, and on time at one that is not.
             * A slow engine reads a long prompt for a second; at a fast one a slot frees within some ten milliseconds,
             * and the slow one is as good as any other for a short prompt.
             */
            private boolean missesObjective(Candidate candidate, Demand demand, long nowMillis) {
                long leftMillis = ask.onTimeUntilMillis() - nowMillis;
                return leftMillis > 0
                        && candidate.firstEventMillis() > leftMillis
                        && placement.somewhereWithin(
                                demand, targets.apply(service), evacuated.get(), leftMillis, nowMillis);
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
                candidate.sent(nowMillis);
                prompts.reads(ask.demand().parts(), targetId, nowMillis);
                grants.put(key, new Grant(ask, candidate));
                outbox.granted(ask, candidate);
            }

            @Override
            public void refuse(long nowMillis) {
                waiting.remove(key);
                refund();
                outbox.shed(ask, grounds(lineRank, nowMillis));
            }

            void refund() {
                ask.organisation().ifPresent(name -> quotas.refundFor(ask.requester(), name, ask.quotaTokens()));
            }
        }
    }

    /** Builds a coordinator. */
    public static final class Builder {
        private String ownName = "";
        private Placement placement;
        private Function<String, Collection<TargetState>> targets;
        private Supplier<Set<String>> evacuated = Set::of;
        private PromptCache prompts;
        private QuotaLedger quotas;
        private TargetReports reports;
        private Outbox outbox;
        private DoubleSupplier random = () -> 0.5;
        private LoadListener loads;
        private Policy policy = Policy.WHOLE;

        /**
         * Sets the name of the process that coordinates; what its own requests show reaches the targets without this.
         *
         * @param name name of the process
         * @return this
         */
        public Builder ownName(String name) {
            ownName = name;
            return this;
        }

        /**
         * Sets how targets are chosen.
         *
         * @param how placement, with the shares of cold targets that a coordinator may use
         * @param cache where prompts were read
         * @return this
         */
        public Builder placement(Placement how, PromptCache cache) {
            placement = how;
            prompts = cache;
            return this;
        }

        /**
         * Sets what is known of targets.
         *
         * @param byService states of a service's targets
         * @param dataCentresOut data centres that must get nothing new
         * @return this
         */
        public Builder targets(
                Function<String, Collection<TargetState>> byService, Supplier<Set<String>> dataCentresOut) {
            targets = byService;
            evacuated = dataCentresOut;
            return this;
        }

        /**
         * Sets the quotas.
         *
         * @param ledger quotas of all organisations
         * @return this
         */
        public Builder quotas(QuotaLedger ledger) {
            quotas = ledger;
            return this;
        }

        /**
         * Sets who hears of decisions, of what targets did, and of their load.
         *
         * @param decisions takes decisions
         * @param targetReports takes what processes saw of targets
         * @param loadListener takes what is under way at targets
         * @return this
         */
        public Builder listeners(Outbox decisions, TargetReports targetReports, LoadListener loadListener) {
            outbox = decisions;
            reports = targetReports;
            loads = loadListener;
            return this;
        }

        /**
         * Sets the source of random numbers that spread the advice to callers.
         *
         * @param numbers numbers from 0 to 1
         * @return this
         */
        public Builder random(DoubleSupplier numbers) {
            random = numbers;
            return this;
        }

        /**
         * Sets which parts of the policy are in use.
         *
         * @param parts what is in use; all of it unless set
         * @return this
         */
        public Builder policy(Policy parts) {
            policy = parts;
            return this;
        }

        /**
         * Builds it.
         *
         * @return the coordinator
         */
        public Coordinator build() {
            return new Coordinator(this);
        }
    }
}
