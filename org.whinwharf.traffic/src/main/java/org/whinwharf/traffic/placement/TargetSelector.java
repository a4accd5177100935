package org.whinwharf.traffic.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.whinwharf.traffic.catalog.TierRank;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.rate.RateAdmission;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.TargetSpeed;
import org.whinwharf.traffic.target.TargetState;

/**
 * Selects the target with the lowest predicted time to the first event.
 *
 * <p>Engines process requests in order of arrival, without regard to rank. A request is therefore sent only to a target
 * that has a free slot as far as is known, and the lower its rank, the more slots must stay free for higher ranks. When
 * a burst fills the fleet, the highest tier gets the last slots without any coordination between processes.
 */
public final class TargetSelector {
    /**
     * Maximum occupancy for requests of the highest tier. Requests that wait at a target start as soon as a slot frees,
     * which keeps the slot in use until the coordinator learns of it. A target with few slots gets one such request.
     */
    private static final double MAX_OCCUPANCY = 1.15;
    /** Occupancy reserved for each rank above that of the request: about one slot in twelve. */
    private static final double RESERVE_PER_RANK = 0.08;
    /** Maximum number of ranks with a reserve, so that the lowest tier can always use most of the fleet. */
    private static final int MAX_RESERVE_RANKS = 3;
    /**
     * Penalty for a target in another data centre: the round-trip time, and as much again because traffic between data
     * centres is billed. It is a tenth of the shortest latency objective of a plain service.
     */
    private static final double CROSS_DATA_CENTRE_PENALTY_MILLIS = 10;

    /**
     * Weight of the time from the first event to the end of the answer. Long answers go to fast engines, where they
     * hold a slot for less time, and short answers leave these engines free.
     */
    private static final double ANSWER_WEIGHT = 0.1;
    /** Wait for a free slot at one of several fast targets; each request holds its slot for about a second. */
    private static final double SLOT_WAIT_MILLIS = 50;
    /** Share of the remaining time that a predicted answer may use, because predictions are off by a tenth. */
    private static final double DEADLINE_SAFETY_SHARE = 0.85;

    /**
     * Penalty for a full target if the request is a suspect, and less for a less occupied one: more than any
     * prediction, so that few other requests are lost if the target crashes.
     */
    private static final double SUSPECT_OCCUPANCY_PENALTY_MILLIS = 60_000;

    /** Tolerance for the rounding errors of shares of slots. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Speed assumed for a target without measurements. */
    private static final TargetSpeed ASSUMED_SPEED = new TargetSpeed();

    private final PromptCacheIndex promptCache;
    private final ColdShares coldShares;
    private final DoubleSupplier jitter;
    private final RateAdmission rates;
    private final boolean usesBeyondSlots;
    private final boolean reservesByRank;
    private final boolean usesPromptMemory;
    private final boolean usesLearnedSpeed;
    private final boolean usesLearnedLimits;
    private final boolean weighsAnswerLength;
    private final boolean fitsDeadlines;

    /**
     * Creates a selector with all mechanisms enabled.
     *
     * @param promptCache record of the targets that have read each prompt
     * @param coldShares share of this process in the requests to cold targets
     * @param jitter random fraction by which the score of an engine is increased, drawn for each engine; without it,
     *     processes that select independently would all pick the fastest engine at once
     */
    public TargetSelector(PromptCacheIndex promptCache, ColdShares coldShares, DoubleSupplier jitter) {
        this(promptCache, coldShares, jitter, Policy.ALL_ENABLED);
    }

    /**
     * Creates a selector with a given policy.
     *
     * @param promptCache record of the targets that have read each prompt
     * @param coldShares share of this process in the requests to cold targets
     * @param jitter random fraction by which the score of an engine is increased, drawn for each engine
     * @param policy enabled mechanisms
     */
    public TargetSelector(PromptCacheIndex promptCache, ColdShares coldShares, DoubleSupplier jitter, Policy policy) {
        this(promptCache, coldShares, jitter, policy, RateAdmission.UNLIMITED);
    }

    /**
     * Creates a selector for targets that may state how many requests they take.
     *
     * @param promptCache record of the targets that have read each prompt
     * @param coldShares share of this process in the requests to cold targets
     * @param jitter random fraction by which the score of an engine is increased, drawn for each engine
     * @param policy enabled mechanisms
     * @param rates admission of requests to targets that state a rate
     */
    public TargetSelector(
            PromptCacheIndex promptCache,
            ColdShares coldShares,
            DoubleSupplier jitter,
            Policy policy,
            RateAdmission rates) {
        this.rates = rates;
        this.promptCache = promptCache;
        this.coldShares = coldShares;
        this.jitter = jitter;
        // A selection asks for each of them at every target.
        usesBeyondSlots = policy.isEnabled(Mechanism.BEYOND_SLOTS);
        reservesByRank = policy.isEnabled(Mechanism.RESERVE_BY_RANK);
        usesPromptMemory = policy.isEnabled(Mechanism.PROMPT_MEMORY);
        usesLearnedSpeed = policy.isEnabled(Mechanism.LEARNED_SPEED);
        usesLearnedLimits = policy.isEnabled(Mechanism.LEARNED_LIMITS);
        weighsAnswerLength = policy.isEnabled(Mechanism.ANSWER_LENGTH);
        fitsDeadlines = policy.isEnabled(Mechanism.DEADLINE_FIT);
    }

    /**
     * Selects the best target for a request.
     *
     * @param demand requirements of the request
     * @param targets all targets of the service
     * @param evacuatedDataCentres data centres that must not receive new requests
     * @param nowMillis monotonic time in milliseconds
     * @return target; empty if no target accepts the request now
     */
    public Optional<Candidate> select(
            Demand demand, Collection<TargetState> targets, Collection<String> evacuatedDataCentres, long nowMillis) {
        Candidate best = null;
        for (TargetState state : targets) {
            if (state.inFlight() >= maxInFlight(state, demand.tierRank())
                    || !eligible(state, demand, evacuatedDataCentres, nowMillis)) {
                continue;
            }
            int allowance = 0;
            if (state.cold(nowMillis)) {
                allowance = coldShares.allowance(state.target());
                if (allowance == 0 || !state.coldStartLimiter().hasCapacity(nowMillis, allowance)) {
                    continue;
                }
            }
            String targetId = state.target().id();
            boolean rateLimited = rates.limits(targetId);
            if (rateLimited && !rates.admits(targetId, nowMillis)) {
                continue;
            }
            Candidate candidate = score(state, demand, state.occupancy(), allowance, rateLimited, nowMillis);
            if (rateLimited && !demand.suspect() && rates.overdue(targetId, nowMillis)) {
                return Optional.of(candidate);
            }
            if (best == null || candidate.scoreMillis() < best.scoreMillis()) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Records that a request is dispatched to a selected target.
     *
     * @param candidate target that this selector has selected
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordDispatch(Candidate candidate, long nowMillis) {
        candidate.recordDispatch(nowMillis);
        if (candidate.rateCounted()) {
            rates.dispatched(candidate.state().target().id(), nowMillis);
        }
    }

    /** Returns the number of requests up to which a target gets requests of a rank; an idle target gets one always. */
    private int maxInFlight(TargetState state, int tierRank) {
        int slots = state.target().slots();
        boolean beyondSlots = usesBeyondSlots && !state.rejectionsLimited();
        int reserves = reservesByRank ? Math.min(TierRank.routeRank(tierRank), MAX_RESERVE_RANKS) : 0;
        double maxOccupancy = (beyondSlots ? MAX_OCCUPANCY : 1) - RESERVE_PER_RANK * reserves;
        int learnedLimit = state.limit().requests();
        if (learnedLimit > 0 && learnedLimit < slots && usesLearnedLimits) {
            return Math.max(1, (int) (learnedLimit * (1 - RESERVE_PER_RANK * reserves) + ROUNDING_TOLERANCE));
        }
        int byOccupancy = Math.max(1, (int) (slots * maxOccupancy + ROUNDING_TOLERANCE));
        return beyondSlots && reserves == 0 ? Math.max(slots + 1, byOccupancy) : byOccupancy;
    }

    private long uncachedTokens(Demand demand, TargetState state, long nowMillis) {
        return usesPromptMemory
                ? promptCache.uncachedTokens(
                        demand.promptParts(),
                        demand.promptTokens(),
                        state.target().id(),
                        nowMillis)
                : demand.promptTokens();
    }

    private TargetSpeed speed(TargetState state) {
        return usesLearnedSpeed ? state.speed() : ASSUMED_SPEED;
    }

    /**
     * Tells whether any target, even a full one, is predicted to deliver the first event in time once a slot is free.
     *
     * @param demand requirements of the request
     * @param targets all targets of the service
     * @param evacuatedDataCentres data centres that must not receive new requests
     * @param withinMillis maximum time to the first event
     * @param nowMillis monotonic time in milliseconds
     * @return true if the request should wait for such a target
     */
    public boolean anyTargetWithin(
            Demand demand,
            Collection<TargetState> targets,
            Collection<String> evacuatedDataCentres,
            long withinMillis,
            long nowMillis) {
        return targets.stream()
                .filter(state -> worthWaitingFor(state, demand, evacuatedDataCentres, nowMillis))
                .anyMatch(state -> firstEventMillisOnceFree(state, demand, nowMillis) <= withinMillis);
    }

    /**
     * Tells whether a target is predicted to complete the answer with a margin before its deadline.
     *
     * @param demand requirements of the request
     * @param candidate selected target
     * @return false if the answer would probably be cut off at the deadline
     */
    public boolean endsInTime(Demand demand, Candidate candidate) {
        return endsInTime(demand, candidate.state(), candidate.firstEventMillis());
    }

    private boolean endsInTime(Demand demand, TargetState state, double firstEventMillis) {
        double answerMillis = speed(state).estimatedAnswerMillis(demand.expectedAnswerTokens());
        return firstEventMillis + answerMillis <= demand.remainingMillis() * DEADLINE_SAFETY_SHARE;
    }

    /**
     * Tells whether any target, even a full one, is predicted to complete the answer in time once a slot is free.
     *
     * @param demand requirements of the request
     * @param targets all targets of the service
     * @param evacuatedDataCentres data centres that must not receive new requests
     * @param nowMillis monotonic time in milliseconds
     * @return true if the request should wait for such a target
     */
    public boolean anyTargetEndsInTime(
            Demand demand, Collection<TargetState> targets, Collection<String> evacuatedDataCentres, long nowMillis) {
        return targets.stream()
                .filter(state -> worthWaitingFor(state, demand, evacuatedDataCentres, nowMillis))
                .anyMatch(state -> endsInTime(demand, state, firstEventMillisOnceFree(state, demand, nowMillis)));
    }

    private double firstEventMillisOnceFree(TargetState state, Demand demand, long nowMillis) {
        return speed(state).estimatedFirstEventMillis(uncachedTokens(demand, state, nowMillis), 1) + SLOT_WAIT_MILLIS;
    }

    /**
     * Tells whether a slot of a full target can be waited for: one that is cold or limited may not take the request.
     */
    private boolean worthWaitingFor(
            TargetState state, Demand demand, Collection<String> evacuatedDataCentres, long nowMillis) {
        return eligible(state, demand, evacuatedDataCentres, nowMillis)
                && !state.cold(nowMillis)
                && !rates.limits(state.target().id());
    }

    private boolean eligible(
            TargetState state, Demand demand, Collection<String> evacuatedDataCentres, long nowMillis) {
        return state.usable(nowMillis)
                && state.health().admits(nowMillis)
                && !(demand.suspect() && state.cold(nowMillis))
                && !evacuatedDataCentres.contains(state.target().dataCentre())
                && !demand.triedTargets().contains(state.target().id())
                && (demand.requiredVersion().isEmpty()
                        || demand.requiredVersion().get().equals(state.target().version()))
                && (demand.model().isEmpty()
                        || state.target().models().isEmpty()
                        || state.target().models().contains(demand.model()));
    }

    private Candidate score(
            TargetState state, Demand demand, double occupancy, int allowance, boolean rateCounted, long nowMillis) {
        double penaltyMillis =
                demand.dataCentre().equals(state.target().dataCentre()) ? 0 : CROSS_DATA_CENTRE_PENALTY_MILLIS;
        long uncachedTokens = uncachedTokens(demand, state, nowMillis);
        long tokensAhead = uncachedTokens + state.pendingPrefillTokens();
        double predictedMillis = speed(state).estimatedFirstEventMillis(tokensAhead, occupancy) + penaltyMillis;
        double answerMillis = speed(state).estimatedAnswerMillis(demand.expectedAnswerTokens());
        double scoreMillis = predictedMillis;
        if (weighsAnswerLength) {
            scoreMillis += answerMillis * ANSWER_WEIGHT;
        }
        if (fitsDeadlines) {
            scoreMillis +=
                    Math.max(0, predictedMillis + answerMillis - demand.remainingMillis() * DEADLINE_SAFETY_SHARE);
        }
        if (demand.suspect()) {
            scoreMillis += occupancy * SUSPECT_OCCUPANCY_PENALTY_MILLIS;
        }
        double jitterFactor = demand.promptTokens() > 0 ? 1 + jitter.getAsDouble() : 1;
        return new Candidate(
                state,
                uncachedTokens,
                tokensAhead,
                occupancy,
                predictedMillis,
                scoreMillis * jitterFactor,
                allowance,
                rateCounted);
    }
}
