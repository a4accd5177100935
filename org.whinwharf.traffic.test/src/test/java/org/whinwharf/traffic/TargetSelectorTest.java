package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.placement.RendezvousColdShares;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.traffic.target.TargetState;

class TargetSelectorTest {
    private static final double COLD_REQUESTS_PER_SECOND = 11;

    private final PromptCacheIndex promptCache = new PromptCacheIndex();
    private final TargetSelector selector = new TargetSelector(promptCache, target -> 0, () -> 0);

    @Test
    void promptGoesWhereItWasRead() {
        List<TargetState> states = states(3);
        promptCache.recordPrefill(Fixtures.demand(0, 6_610, "orava").promptParts(), "t2", 0);
        assertThat(selectedId(0, "orava", states), is(Optional.of("t2")));
    }

    /**
     * A burst fills the engines. If every tier could take the last slot, a request of the highest tier that arrives a
     * moment later would wait behind lower tiers. Lower tiers therefore leave slots free.
     */
    @Test
    void lastSlotsAreKeptForTheHighestTier() {
        List<TargetState> states = states(1);
        for (int i = 0; i < 8; i++) {
            states.get(0).recordDispatch(0);
        }
        assertThat(selectedId(2, "bin", states), is(Optional.empty()));
        assertThat(selectedId(0, "orava", states), is(Optional.of("t0")));
    }

    /**
     * According to the last report, which is a tenth of a second old, all slots are taken. Without one request that
     * waits at the engine, the next free slot would stay empty until its report arrives.
     */
    @Test
    void highestTierMayExceedSlotsByOne() {
        List<TargetState> states = states(1);
        states.get(0).updateRemoteLoad(8, 0);
        assertThat(selectedId(0, "orava", states), is(Optional.of("t0")));
        assertThat(selectedId(1, "orava", states), is(Optional.empty()));
    }

    /** Guards against a share of the slots that rounds to no request beyond them on engines with few slots. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 12, 13, 16, 20, 32, 64})
    void oneRequestWaitsAtFullEngineOfAnySize(int slots) {
        TargetState state = new TargetState(Fixtures.target("t0", slots));
        state.updateRemoteLoad(slots, 0);
        assertThat(selectedId(0, "orava", List.of(state)), is(Optional.of("t0")));
        state.updateRemoteLoad(slots + Math.max(1, slots * 15 / 100), 0);
        assertThat(selectedId(0, "orava", List.of(state)), is(Optional.empty()));
    }

    /** Guards against requests that wait beyond the slots of a target that crashes when it has to reject too many. */
    @Test
    void targetWithRejectionLimitGetsNoMoreThanItsSlotsAndTimeToRecover() {
        TargetState state = new TargetState(Fixtures.target("t0", 8));
        state.setRejectionsLimited(true);
        state.updateRemoteLoad(7, 0);
        assertThat(selectedId(0, "orava", List.of(state)), is(Optional.of("t0")));
        state.updateRemoteLoad(8, 0);
        assertThat(selectedId(0, "orava", List.of(state)), is(Optional.empty()));
        state.setRejectionsLimited(false);
        assertThat(selectedId(0, "orava", List.of(state)), is(Optional.of("t0")));
        state.setRejectionsLimited(true);
        state.recordFullRejection(0);
        assertThat(state.usable(999), is(false));
        assertThat(state.usable(1_000), is(true));
    }

    /** Guards against a reserve that rounds to nothing, or to more slots than a lower rank leaves on other engines. */
    @Test
    void lowerRanksNeverUseMoreSlotsThanHigherOnes() {
        for (int slots = 1; slots <= 64; slots++) {
            int used = Integer.MAX_VALUE;
            for (int rank = 0; rank <= 3; rank++) {
                int usable = usableSlots(slots, rank);
                assertThat("slots " + slots + ", rank " + rank, usable, lessThanOrEqualTo(used));
                assertThat("slots " + slots + ", rank " + rank, usable, greaterThanOrEqualTo(Math.max(1, slots / 2)));
                used = usable;
            }
            assertThat("slots " + slots, usableSlots(slots, 1), lessThan(usableSlots(slots, 0)));
        }
    }

    private int usableSlots(int slots, int rank) {
        TargetState state = new TargetState(Fixtures.target("t0", slots));
        int used = 0;
        while (selectedId(rank, "orava", List.of(state)).isPresent()) {
            state.updateRemoteLoad(++used, 0);
        }
        return used;
    }

    @Test
    void fullEngineGetsNothing() {
        List<TargetState> states = states(1);
        states.get(0).updateRemoteLoad(9, 0);
        assertThat(selectedId(0, "orava", states), is(Optional.empty()));
    }

    /**
     * The speeds of the engines of one service differ by a factor of five. An answer of 3,000 tokens takes 10 s on a
     * usual engine and 28 s on a slow one, and its deadline is 12 s. The slow engine is idle and the usual one half
     * full. If only the time to the first event counted, the longest answers would start on slow engines and miss their
     * deadline.
     */
    @Test
    void longAnswerGoesWhereItCanEndInTime() {
        List<TargetState> states = states(2);
        for (int i = 0; i < 40; i++) {
            states.get(0).speed().recordAnswer(400, 400 * 9);
        }
        states.get(1).updateRemoteLoad(5, 0);
        Demand shortAnswer = Fixtures.demand(0, 6_610, "orava");
        Demand longAnswer =
                ImmutableDemand.copyOf(shortAnswer).withMaxAnswerTokens(3_000).withRemainingMillis(12_000);
        assertThat(idOf(selector.select(shortAnswer, states, Set.of(), 0)), is(Optional.of("t0")));
        assertThat(idOf(selector.select(longAnswer, states, Set.of(), 0)), is(Optional.of("t1")));
    }

    @Test
    void slowEngineIsUsedAfterTheOthers() {
        List<TargetState> states = states(2);
        for (int i = 0; i < 10; i++) {
            states.get(0).speed().recordFirstEvent(6_610, 0, 800);
        }
        assertThat(selectedId(0, "orava", states), is(Optional.of("t1")));
    }

    /**
     * Four engines return cold together after an outage of their data centre. Each has a capacity of eleven requests
     * per second. The seven processes do not know each other's requests, and their membership views differ by one
     * member.
     */
    @Test
    void allProcessesTogetherStayWithinTheCapacityOfAColdTarget() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            names.add("front-" + i);
        }
        for (int cold = 0; cold < 4; cold++) {
            Target target = Fixtures.target("cold-" + cold, 8);
            int sum = 0;
            for (String name : names) {
                Set<String> known = new HashSet<>(names);
                known.remove("front-" + cold);
                known.add(name);
                sum += new RendezvousColdShares(name, () -> known, any -> COLD_REQUESTS_PER_SECOND).allowance(target);
            }
            assertThat((double) sum, lessThanOrEqualTo(COLD_REQUESTS_PER_SECOND * 1.5 + 5));
        }
    }

    @Test
    void coldTargetGetsNoMoreThanTheShareInASecond() {
        TargetSelector sharing = new TargetSelector(promptCache, target -> 3, () -> 0);
        List<TargetState> states = states(1);
        states.get(0).markColdUntil(5_000);
        int sent = 0;
        for (long now = 0; now < 1_000; now += 10) {
            Optional<Candidate> candidate = sharing.select(Fixtures.demand(0, 100, "s" + now), states, Set.of(), now);
            if (candidate.isPresent()) {
                candidate.get().state().coldStartLimiter().recordDispatch(now);
                sent++;
            }
        }
        assertThat(sent, is(3));
    }

    @Test
    void leavingTargetsAndDataCentresGetNothing() {
        List<TargetState> states = states(1);
        assertThat(selector.select(Fixtures.demand(0, 100, "s"), states, Set.of("zilina-a"), 0), is(Optional.empty()));
        states.get(0).markRemovedAt(0);
        assertThat(selectedId(0, "s", states), is(Optional.empty()));
    }

    private Optional<String> selectedId(int tierRank, String subject, List<TargetState> states) {
        return selector.select(Fixtures.demand(tierRank, 6_610, subject), states, Set.of(), 0)
                .map(candidate -> candidate.state().target().id());
    }

    private static Optional<String> idOf(Optional<Candidate> candidate) {
        return candidate.map(chosen -> chosen.state().target().id());
    }

    private static List<TargetState> states(int count) {
        List<TargetState> states = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            states.add(new TargetState(Fixtures.target("t" + i, 8)));
        }
        return states;
    }

    /**
     * Requests with the same prompt prefix arrive every second, and the engine that read it last is full each time. At
     * an arbitrary idle engine each would read 6,610 tokens again, although another engine that read the prompt some
     * seconds ago is free.
     */
    @Test
    void promptGoesToAnyTargetThatReadItLately() {
        TargetState full = new TargetState(Fixtures.target("a-full", 1));
        full.recordDispatch(0);
        TargetState idle = new TargetState(Fixtures.target("b-idle", 4));
        TargetState earlier = new TargetState(Fixtures.target("c-earlier", 4));
        Demand demand = Fixtures.demand(0, 6_610, "orava");
        promptCache.recordPrefill(demand.promptParts(), "c-earlier", 0);
        promptCache.recordPrefill(demand.promptParts(), "a-full", 5_000);
        List<TargetState> targets = List.of(full, idle, earlier);
        Candidate soon = selector.select(demand, targets, Set.of(), 6_000).orElseThrow();
        assertThat(soon.state().target().id(), is("c-earlier"));
        assertThat(soon.uncachedTokens(), is(0L));
    }

    /**
     * Engines cache a prompt only for a limited time, so one that was read long ago does not make a target preferable.
     */
    @Test
    void promptReadLongAgoCountsAsForgotten() {
        Demand demand = Fixtures.demand(0, 6_610, "orava");
        promptCache.recordPrefill(demand.promptParts(), "a", 0);
        assertThat(promptCache.uncachedTokens(demand.promptParts(), 6_610, "a", 20_000), is(0L));
        assertThat(promptCache.uncachedTokens(demand.promptParts(), 6_610, "a", 20_001), is(6_550L));
    }
}
