package org.whinwharf.owner.pledge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.Timings;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;

class HeldPledgesTest {
    private static final Timings TIMINGS = new Timings(500, 1000, 800, 400, 1000, 200);
    private static final SliceId SLICE =
            SliceId.newBuilder().setService("llm").setDataCentre("a").build();
    private static final List<String> OLD = List.of("h1", "h2", "h3");
    private static final List<String> NEW = List.of("h3", "h4", "h5");
    private static final long LONG_UNHELD_MILLIS = 60_000;
    private static final long SETTLED_MILLIS = 100_000;

    // Two of three hosts are replaced. One owner still has the old list and a majority of the old hosts, the other
    // owner has a majority of the new hosts; together they would send an engine twice its limit.
    @Property(seed = "20261203", tries = 100)
    void ownersWithDifferentListsTogetherStayWithinTheLimit(
            @ForAll @IntRange(min = 1, max = 64) int limit, @ForAll boolean shared) {
        HeldPledges late = heldPledges(OLD);
        pledge(late, SETTLED_MILLIS, "h1", "h2");
        MembershipViews views = views(OLD);
        views.update(membership(NEW), TIMINGS, SETTLED_MILLIS);
        HeldPledges early = new HeldPledges(SLICE, views, ShareRule.REST_TO_MAJORITY);
        pledge(early, SETTLED_MILLIS, "h4", "h5");
        pledge(shared ? late : early, SETTLED_MILLIS, "h3");
        long nowMillis = SETTLED_MILLIS + 500;
        int totalUsable =
                late.usableSlots(limit, nowMillis, nowMillis) + early.usableSlots(limit, nowMillis, nowMillis);
        assertThat(totalUsable, lessThanOrEqualTo(limit));
    }

    @Example
    void onlyNewVotersCountOnceTheOldListIsObsolete() {
        MembershipViews views = views(OLD);
        views.update(membership(NEW), TIMINGS, SETTLED_MILLIS);
        HeldPledges heldPledges = new HeldPledges(SLICE, views, ShareRule.REST_TO_MAJORITY);
        long obsoleteAtMillis =
                SETTLED_MILLIS + TIMINGS.upperBoundMillis(TIMINGS.listLagMillis()) + TIMINGS.grantExpiryMillis();
        pledge(heldPledges, obsoleteAtMillis - 100, NEW.toArray(String[]::new));
        assertThat(heldPledges.usableSlots(4, obsoleteAtMillis - 1, obsoleteAtMillis), is(1));
        assertThat(heldPledges.usableSlots(4, obsoleteAtMillis, obsoleteAtMillis), is(4));
    }

    // A process that has just started does not know by which voters other processes still count.
    @Example
    void startedProcessUsesNothingUntilAllProcessesHaveItsFirstList() {
        MembershipViews views = new MembershipViews();
        views.update(membership(OLD), TIMINGS, 0);
        HeldPledges heldPledges = new HeldPledges(SLICE, views, ShareRule.REST_TO_MAJORITY);
        pledge(heldPledges, 500, "h1", "h2", "h3");
        assertThat(heldPledges.usableSlots(4, 600, 600), is(0));
    }

    // The last grants of the earlier owner are still in use when its pledges expire; a load measured before those
    // grants expire does not include their requests.
    @Example
    void loadMeasuredBeforeEarlierGrantsExpiredIsIgnored() {
        HeldPledges heldPledges = heldPledges(OLD);
        for (String voter : OLD) {
            heldPledges.add(voter, SETTLED_MILLIS, TIMINGS.pledgeMillis(), 0, TIMINGS, SETTLED_MILLIS);
        }
        long effectiveFromMillis = SETTLED_MILLIS + TIMINGS.grantExpiryMillis();
        assertThat(heldPledges.usableSlots(4, effectiveFromMillis - 1, SETTLED_MILLIS + 900), is(0));
        assertThat(heldPledges.usableSlots(4, effectiveFromMillis, SETTLED_MILLIS + 900), is(4));
    }

    // The owner's request was delayed, or the owner was frozen; the voter's validity started when it answered.
    @Example
    void pledgeExpiresAtTheOwnerBeforeItExpiresAtTheVoter() {
        HeldPledges heldPledges = heldPledges(OLD);
        long requestSentAtMillis = SETTLED_MILLIS - 700;
        for (String voter : OLD) {
            heldPledges.add(
                    voter, requestSentAtMillis, TIMINGS.pledgeMillis(), LONG_UNHELD_MILLIS, TIMINGS, SETTLED_MILLIS);
        }
        long lastValidMillis = requestSentAtMillis + TIMINGS.lowerBoundMillis(TIMINGS.pledgeMillis()) - 1;
        assertThat(heldPledges.usableSlots(4, SETTLED_MILLIS, lastValidMillis), is(4));
        assertThat(heldPledges.usableSlots(4, SETTLED_MILLIS, lastValidMillis + 1), is(0));
    }

    private static HeldPledges heldPledges(List<String> hosts) {
        return new HeldPledges(SLICE, views(hosts), ShareRule.REST_TO_MAJORITY);
    }

    private static MembershipViews views(List<String> hosts) {
        MembershipViews views = new MembershipViews();
        views.update(membership(hosts), TIMINGS, 0);
        return views;
    }

    private static void pledge(HeldPledges heldPledges, long nowMillis, String... voters) {
        for (String voter : voters) {
            heldPledges.add(voter, nowMillis, TIMINGS.pledgeMillis(), LONG_UNHELD_MILLIS, TIMINGS, nowMillis);
        }
    }

    private static Membership membership(List<String> hosts) {
        HostList.Builder list = HostList.newBuilder();
        for (String name : hosts) {
            list.addHosts(Host.newBuilder()
                    .setName(name)
                    .setDataCentre("a")
                    .setState(HostState.LIVE)
                    .setEntry(EntryPorts.getDefaultInstance()));
        }
        return Membership.of(list.build(), Document.getDefaultInstance());
    }
}
