package org.whinwharf.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.message.SliceStatus;
import org.whinwharf.wire.message.TierWait;

class RoutingPolicyTest {
    private static final SliceId NEAR = slice("zone-a");
    private static final SliceId FAR = slice("zone-b");
    private static final RoutingRequest SHORT = new RoutingRequest(1, List.of());
    private final SliceTracker tracker = new SliceTracker();
    private final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(3L);

    @Test
    void digestsTheFirstBlocksAndCountsTokens() {
        assertThat(PrefixDigests.of("a".repeat(255)), hasSize(0));
        assertThat(PrefixDigests.of("a".repeat(600)), hasSize(2));
        assertThat(PrefixDigests.of("a".repeat(100_000)), hasSize(16));
        assertThat(PrefixDigests.tokens("abcde"), is(2));
    }

    @Test
    void nearSliceIsPreferredUntilItsWaitIsLonger() {
        updateStatus(NEAR, 0, 0);
        updateStatus(FAR, 0, 0);
        assertThat(choose(SHORT, 0), is(NEAR));
        updateStatus(NEAR, 1, 900);
        assertThat(choose(SHORT, 0), is(FAR));
    }

    // An owner reports a free slice once and then stops reporting. If every home kept using that stale report, all
    // would queue their requests at that slice, although its owner may no longer respond.
    @Test
    void staleStatusOfAFreeSliceCountsAsUnknown() {
        updateStatus(NEAR, 0, 0);
        assertThat(tracker.estimatedWaitMillis(NEAR, 1, 10_000), is(SliceTracker.UNKNOWN_WAIT_MILLIS));
        assertThat(tracker.hasAvailableSlots(NEAR, 10_000), is(false));
    }

    @Test
    void sessionStaysAtItsSliceUntilWaitOutweighsTheCachedPrefix() {
        RoutingRequest session = new RoutingRequest(1, PrefixDigests.of("s".repeat(4_096)));
        updateStatus(NEAR, 0, 0);
        updateStatus(FAR, 0, 0);
        tracker.recordDispatch(session, FAR);
        assertThat(choose(session, 0), is(FAR));
        updateStatus(FAR, 1, 5_000);
        assertThat(choose(session, 0), is(not(FAR)));
    }

    @Test
    void sliceWithoutTargetsIsSkipped() {
        tracker.updateStatus(SliceStatus.newBuilder().setSlice(NEAR).build(), 0);
        updateStatus(FAR, 1, 5_000);
        for (RoutingPolicy policy : RoutingPolicy.values()) {
            assertThat(policy.choose(List.of(NEAR, FAR), SHORT, tracker, zone -> 0, random, 0), is(FAR));
        }
    }

    private SliceId choose(RoutingRequest request, long nowMillis) {
        return RoutingPolicy.AFFINITY.choose(
                List.of(NEAR, FAR), request, tracker, zone -> zone.equals("zone-a") ? 0 : 5, random, nowMillis);
    }

    private void updateStatus(SliceId slice, int waiting, long waitMillis) {
        tracker.updateStatus(
                SliceStatus.newBuilder()
                        .setSlice(slice)
                        .setUsableTargets(1)
                        .setFreeSlots(1)
                        .setWaiting(waiting)
                        .addWaits(TierWait.newBuilder().setTierRank(1).setWaitMillis(waitMillis))
                        .build(),
                0);
    }

    private static SliceId slice(String dataCentre) {
        return SliceId.newBuilder()
                .setService("lampa-llm")
                .setDataCentre(dataCentre)
                .build();
    }
}
