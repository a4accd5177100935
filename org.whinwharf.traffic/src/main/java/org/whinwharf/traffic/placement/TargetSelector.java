package org.whinwharf.traffic.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.whinwharf.traffic.catalog.TierRank;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.target.PromptCache;
import org.whinwharf.traffic.target.TargetSpeed;
import org.whinwharf.traffic.target.TargetState;

/**
 * Chooses the target whose first event is predicted to come soonest.
 *
 * <p>Engines admit in order of arrival and know no ranks. So a request is sent only while the target has a free slot by
 * all that is known, and the lower its rank the more slots must stay free behind it: when a burst fills the fleet, the
 * last slots go to the highest tier without any word between processes.
 */
public final class TargetSelector {
    /**
     * Occupancy up to which the highest tier is sent. News of freed slots is a tenth of a second old; one request that
     * waits at each target keeps it at work meanwhile.
     */
    private static final double MAX_OCCUPANCY = 1.15;
    /** Occupancy kept free for each rank above a request's own: about one slot in twelve. */
    private static final double RESERVE_PER_RANK = 0.08;
    /** Most ranks that a reserve is kept for, so that the lowest tier always keeps most of the fleet. */
    private static final int MAX_RESERVE_RANKS = 3;
    /**
     * Price of leaving the own data centre: the way there and back, and as much again for bytes between data centres,
     * which are paid for. A tenth of the shortest objective of a plain service.
     */
    private static final double CROSS_DATA_CENTRE_PENALTY_MILLIS = 10;

    /**
     * Part of the time for the rest of an answer that counts like time to its first event: long answers go to fast
     * engines, where they hold a slot for less time, and short ones leave these free.
     */
    private static final double ANSWER_WEIGHT = 0.1;
    /** Time in which a slot of one of several fast targets frees: each holds a request for about a second. */
    private static final double SLOT_WAIT_MILLIS = 50;
    /** Share of the time left within which an answer should be predicted to end: predictions are off by a tenth. */
    private static final double DEADLINE_SAFETY_SHARE = 0.85;

    /** The speed of a target that has shown none yet. */
    private static final TargetSpeed ASSUMED_SPEED = new TargetSpeed();

    private final PromptCache promptCache;
    private final ColdShares coldShares;
    private final DoubleSupplier jitter;
    private final Policy policy;

    /**
     * Creates a placement.
     *
     * @param prompts where prompts were read
     * @param coldShares what this process may send to cold targets
     * @param spread part by which a prediction for an engine is made worse at random, drawn for each; processes that
     *     choose without knowing of each other would all take the fastest engine together
     */
    public TargetSelector(PromptCache prompts, ColdShares coldShares, DoubleSupplier spread) {
        this(prompts, coldShares, spread, Policy.ALL_ENABLED);
    }

    /**
     * Creates a placement that uses a part of the policy.
     *
     * @param prompts where prompts were read
     * @param coldShares what this process may send to cold targets
     * @param spread part by which a prediction for an engine is made worse at random
     * @param policy what is in use
     */
    public TargetSelector(PromptCache prompts, ColdShares coldShares, DoubleSupplier spread, Policy policy) {
        this.promptCache = prompts;
        this.coldShares = coldShares;
        this.jitter = spread;
        this.policy = policy;
    }

    /**
     * Chooses a target.
     *
     * @param demand what the request asks
     * @param targets all targets of its service
     * @param evacuated data centres that must get nothing new
     * @param nowMillis steady time in milliseconds
     * @return the target; empty when none may take the request now
     */
    public Optional<Candidate> select(
            Demand demand, Collection<TargetState> targets, Collection<String> evacuated, long nowMillis) {
        double mostOccupancy = maxOccupancy(demand.tierRank());
        Candidate best = null;
        for (TargetState state : targets) {
            if (!eligible(state, demand, evacuated, nowMillis)) {
                continue;
            }
            double occupancy = state.occupancy();
            if (occupancy + 1.0 / state.target().slots() > mostOccupancy + 1e-9 && occupancy > 0) {
                continue;
            }
            int allowance = 0;
            if (state.cold(nowMillis)) {
                allowance = coldShares.allowance(state.target());
                if (allowance == 0 || !state.coldGate().hasRoom(nowMillis, allowance)) {
                    continue;
                }
            }
            Candidate candidate = score(state, demand, occupancy, allowance, nowMillis);
            if (best == null || candidate.scoreMillis() < best.scoreMillis()) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    private double maxOccupancy(int tierRank) {
        double full = policy.isEnabled(Mechanism.BEYOND_SLOTS) ? MAX_OCCUPANCY : 1;
        int reserves = Math.min(TierRank.ofRoute(tierRank), MAX_RESERVE_RANKS);
        return policy.isEnabled(Mechanism.RESERVE_BY_RANK) ? full - RESERVE_PER_RANK * reserves : full;
    }

    private long uncachedTokens(Demand demand, TargetState state, long nowMillis) {
        return policy.isEnabled(Mechanism.PROMPT_MEMORY)
                ? promptCache.uncachedTokens(
                        demand.promptParts(),
                        demand.promptTokens(),
                        state.target().id(),
                        nowMillis)
                : demand.promptTokens();
    }

    private TargetSpeed speed(TargetState state) {
        return policy.isEnabled(Mechanism.LEARNED_SPEED) ? state.speed() : ASSUMED_SPEED;
    }

    /**
     * Tells whether a target that is full now would bring the first event in time once a slot frees.
     *
     * @param demand what the request asks
     * @param targets all targets of its service
     * @param evacuated data centres that must get nothing new
     * @param withinMillis time in which the first event must come
     * @param nowMillis steady time in milliseconds
     * @return true when waiting for it is worth while
     */
    public boolean anyTargetWithin(
            Demand demand,
            Collection<TargetState> targets,
            Collection<String> evacuated,
            long withinMillis,
            long nowMillis) {
        return targets.stream()
                .filter(state -> eligible(state, demand, evacuated, nowMillis) && !state.cold(nowMillis))
                .anyMatch(state -> firstEventOnceFree(state, demand, nowMillis) <= withinMillis);
    }

    private double firstEventOnceFree(TargetState state, Demand demand, long nowMillis) {
        return speed(state).firstEventMillis(uncachedTokens(demand, state, nowMillis), 1) + SLOT_WAIT_MILLIS;
    }

    private boolean eligible(TargetState state, Demand demand, Collection<String> evacuated, long nowMillis) {
        return state.usable(nowMillis)
                && state.health().admits(nowMillis)
                && !evacuated.contains(state.target().dataCentre())
                && !demand.triedTargets().contains(state.target().id())
                && (demand.model().isEmpty()
                        || state.target().models().isEmpty()
                        || state.target().models().contains(demand.model()));
    }

    private Candidate score(TargetState state, Demand demand, double occupancy, int allowance, long nowMillis) {
        double far = demand.dataCentre().equals(state.target().dataCentre()) ? 0 : CROSS_DATA_CENTRE_PENALTY_MILLIS;
        long uncached = uncachedTokens(demand, state, nowMillis);
        long ahead = uncached + state.prefillTokens();
        double predicted = speed(state).firstEventMillis(ahead, occupancy) + far;
        double answerMillis = speed(state).answerMillis(demand.maxAnswerTokens());
        double rating = predicted;
        if (policy.isEnabled(Mechanism.ANSWER_LENGTH)) {
            rating += answerMillis * ANSWER_WEIGHT;
        }
        if (policy.isEnabled(Mechanism.DEADLINE_FIT)) {
            rating += Math.max(0, predicted + answerMillis - demand.remainingMillis() * DEADLINE_SAFETY_SHARE);
        }
        double spreadFactor = demand.promptTokens() > 0 ? 1 + jitter.getAsDouble() : 1;
        return new Candidate(state, uncached, ahead, occupancy, predicted, rating * spreadFactor, allowance);
    }
}
