package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.policy.ImmutablePolicy;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;

/**
 * Load patterns in which organisations of one rank compete for six targets of four slots. A request holds a slot for
 * 300 ms, so that the targets serve 80 a second.
 */
class OrganisationShareTest {
    private static final long SLOT_MILLIS = 300;
    private static final long ANSWER_TOKENS = 600;
    private static final int SMALL_ORGANISATIONS = 8;
    private static final double SMALL_PER_SECOND = 5;
    private static final double FLOOD_PER_SECOND = 150;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long PERIOD_MILLIS = 20_000;
    /** Part of what it gets alone, or of its share, that an organisation gets at least beside a flood. */
    private static final double MIN_PART = 0.95;

    private final List<ShareFleet.Sender> small = new ArrayList<>();

    private ShareFleet fleet(Policy policy) {
        ShareFleet fleet = new ShareFleet(7, policy);
        for (int i = 0; i < SMALL_ORGANISATIONS; i++) {
            small.add(fleet.add("small-" + i, SMALL_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS));
        }
        return fleet;
    }

    /** One organisation asks 30 times as much as each other: none of those may lose by it. */
    @Test
    void floodOfOneOrganisationCostsTheOthersNothing() {
        ShareFleet fleet = fleet(Policy.ALL_ENABLED);
        ShareFleet.Sender flood = fleet.add("flood", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        fleet.run(WARM_UP_MILLIS);
        fleet.resetCounts();
        fleet.run(PERIOD_MILLIS);
        small.forEach(sender -> assertThat(sender.grantedShare(), greaterThanOrEqualTo(MIN_PART)));
        // What the others leave goes to the flood.
        assertThat(
                flood.usedMillis()
                        + small.stream()
                                .mapToLong(ShareFleet.Sender::usedMillis)
                                .sum(),
                greaterThan(Math.round(0.95 * ShareFleet.CAPACITY * PERIOD_MILLIS)));
        assertThat(fleet.limitedOrganisations(), greaterThan(0));
        assertThat(fleet.largestUseRatio(), greaterThan(2.0));
    }

    /** Guards against a flood whose callers are told to return before its share has room. */
    @Test
    void floodIsToldToReturnLaterThanOneWithMoreRoom() {
        ShareFleet fleet = fleet(Policy.ALL_ENABLED);
        ShareFleet.Sender flood = fleet.add("flood", 2 * FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        ShareFleet.Sender other = fleet.add("other", FLOOD_PER_SECOND / 2, SLOT_MILLIS, ANSWER_TOKENS);
        fleet.run(WARM_UP_MILLIS);
        fleet.resetCounts();
        fleet.run(PERIOD_MILLIS);
        assertThat(flood.meanRetryAfterMillis(), greaterThanOrEqualTo(other.meanRetryAfterMillis()));
    }

    /** The mechanism can be switched off alone; the same flood then takes from the others. */
    @Test
    void floodTakesFromTheOthersWithoutShares() {
        ShareFleet fleet = fleet(ImmutablePolicy.builder()
                .addDisabled(Mechanism.ORGANISATION_SHARES)
                .build());
        fleet.add("flood", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        fleet.run(WARM_UP_MILLIS);
        fleet.resetCounts();
        fleet.run(PERIOD_MILLIS);
        double mean = small.stream()
                .mapToDouble(ShareFleet.Sender::grantedShare)
                .average()
                .orElseThrow();
        assertThat(mean, lessThan(0.8));
    }

    /** An organisation that was limited must be served like the others within two seconds of returning to its share. */
    @Test
    void floodingOrganisationIsServedAgainOnceItReturnsToItsShare() {
        ShareFleet fleet = fleet(Policy.ALL_ENABLED);
        ShareFleet.Sender returning = fleet.add("returning", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        ShareFleet.Sender flood = fleet.add("flood", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        fleet.run(10_000);
        returning.changeRate(SMALL_PER_SECOND, fleet.nowMillis());
        fleet.run(2_000);
        fleet.resetCounts();
        fleet.run(PERIOD_MILLIS);
        assertThat(returning.grantedShare(), greaterThanOrEqualTo(MIN_PART));
        assertThat(flood.grantedShare(), lessThan(0.5));
    }

    /** Two organisations flood; the requests of one hold a slot ten times as long as declared. */
    @Test
    void sharesCountSlotTimeAndNotRequests() {
        ShareFleet fleet = new ShareFleet(8, Policy.ALL_ENABLED);
        ShareFleet.Sender shorter = fleet.add("short", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        ShareFleet.Sender longer = fleet.add("long", FLOOD_PER_SECOND, 10 * SLOT_MILLIS, ANSWER_TOKENS);
        fleet.run(10_000);
        fleet.resetCounts();
        fleet.run(2 * PERIOD_MILLIS);
        double part = (double) shorter.usedMillis() / (shorter.usedMillis() + longer.usedMillis());
        assertThat(part, closeTo(0.5, 0.05));
    }

    /** Nobody else asks: one organisation gets all slots, and at once again when the others stop. */
    @Test
    void unusedSharesGoToTheOthersAtOnce() {
        ShareFleet fleet = new ShareFleet(9, Policy.ALL_ENABLED);
        ShareFleet.Sender one = fleet.add("one", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        ShareFleet.Sender other = fleet.add("other", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        fleet.run(5_000);
        other.changeRate(0, fleet.nowMillis());
        fleet.run(1_000);
        fleet.resetCounts();
        fleet.run(2_000);
        assertThat(one.usedMillis(), greaterThan(Math.round(0.95 * ShareFleet.CAPACITY * 2_000)));
    }

    /** An organisation returns from a minute of idleness with a flood: it may not push the others aside. */
    @Test
    void idleOrganisationReturnsWithNoMoreThanTheCredit() {
        ShareFleet fleet = new ShareFleet(10, Policy.ALL_ENABLED);
        ShareFleet.Sender busy = fleet.add("busy", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        ShareFleet.Sender idle = fleet.add("idle", 0, SLOT_MILLIS, ANSWER_TOKENS);
        fleet.run(60_000);
        fleet.resetCounts();
        idle.changeRate(FLOOD_PER_SECOND, fleet.nowMillis());
        fleet.run(5_000);
        // The credit is one second of slot time; all slots at once are the granularity of what is running.
        long granularityMillis = ShareFleet.CAPACITY * SLOT_MILLIS;
        assertThat(idle.usedMillis() - busy.usedMillis(), lessThan(1_000 + granularityMillis / 2));
        assertThat(busy.usedMillis() - idle.usedMillis(), lessThan(2 * granularityMillis));
    }

    /**
     * The coordinator is killed while one organisation floods. The standby has only the lists of runs in flight; the
     * others must get their shares from the first second on.
     */
    @Test
    void standbyKnowsTheSharesWhenTheCoordinatorIsKilled() {
        ShareFleet fleet = fleet(Policy.ALL_ENABLED);
        fleet.add("flood", FLOOD_PER_SECOND, SLOT_MILLIS, ANSWER_TOKENS);
        fleet.run(10_500);
        assertThat(fleet.standbyUseRatio(), greaterThan(2.0));
        fleet.killCoordinator();
        // Requests queued at the lost coordinator are sent again by their fronts, which this fleet does not have.
        fleet.resetCounts();
        fleet.run(1_000);
        int sent = small.stream().mapToInt(ShareFleet.Sender::sent).sum();
        int refused = small.stream().mapToInt(ShareFleet.Sender::refused).sum();
        assertThat((double) refused / sent, lessThan(1 - MIN_PART));
        fleet.resetCounts();
        fleet.run(PERIOD_MILLIS);
        small.forEach(sender -> assertThat(sender.grantedShare(), greaterThanOrEqualTo(MIN_PART)));
    }
}
