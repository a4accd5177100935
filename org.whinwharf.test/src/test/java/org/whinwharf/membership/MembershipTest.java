package org.whinwharf.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;
import org.whinwharf.wire.schema.TargetInfo;

class MembershipTest {
    private static final SliceId SLICE =
            SliceId.newBuilder().setService("llm").setDataCentre("north-a").build();

    @Test
    void candidateOrderIsIndependentOfListOrder() {
        List<Host> hosts = entryHosts(7);
        Membership original = membership(1, hosts);
        Collections.reverse(hosts);
        Membership reversed = membership(1, hosts);
        assertThat(original.candidates(SLICE), equalTo(reversed.candidates(SLICE)));
        assertThat(original.candidates(SLICE), hasSize(7));
        assertThat(original.candidates(SLICE).get(0).getDataCentre(), is("north-a"));
    }

    @Test
    void slicesOfManyTargetsAreDisjointAndBalanced() {
        Membership membership = membership(1, targets(200));
        List<SliceId> slices = membership.slices("llm");
        assertThat(slices, hasSize(32));
        int targetCount = 0;
        for (SliceId slice : slices) {
            int size = membership.targets(slice).size();
            assertThat(size, lessThanOrEqualTo(2 * Membership.MAX_MEAN_TARGETS_PER_SLICE));
            targetCount += size;
        }
        assertThat(targetCount, is(200));
    }

    // Targets are replaced many times a day. If a replacement moved the other targets to new slices, none of them would
    // receive requests until every host knows the new list, and the service would stall at each replacement.
    @Test
    void replacingOneTargetKeepsSlicesOfOtherTargets() {
        List<Host> hosts = targets(20);
        Membership before = membership(1, hosts);
        hosts.set(3, target("a-replacement", "north-a", HostState.LIVE));
        Membership after = membership(2, hosts);
        for (Host host : hosts) {
            if (before.host(host.getName()).isPresent()) {
                assertThat(after.sliceOf(host.getName()), equalTo(before.sliceOf(host.getName())));
            }
        }
    }

    @Test
    void leavingHostIsListedAndAllowedButNotCandidate() {
        List<Host> hosts = entryHosts(3);
        hosts.set(0, hosts.get(0).toBuilder().setState(HostState.LEAVING).build());
        Membership membership = membership(1, hosts);
        assertThat(membership.candidates(SLICE), hasSize(2));
        assertThat(membership.allowedAddresses(), containsInAnyOrder("127.0.1.0", "127.0.1.1", "127.0.1.2"));
        assertThat(membership.host("e0").isPresent(), is(true));
        assertThat(membership.isLive("e0"), is(false));
    }

    @Test
    void targetIsUnusableWhenItLeavesOrItsDataCentreIsOutOfService() {
        Membership membership = membership(
                1,
                List.of(
                        target("a", "north-a", HostState.LIVE),
                        target("b", "north-a", HostState.LEAVING),
                        target("c", "south-a", HostState.LIVE),
                        target("d", "elsewhere", HostState.LIVE)));
        assertThat(membership.isUsable("a"), is(true));
        assertThat(membership.isUsable("b"), is(false));
        assertThat(membership.isUsable("c"), is(false));
        assertThat(membership.isUsable("d"), is(false));
        assertThat(membership.targets(SLICE), hasSize(2));
    }

    @Test
    void votersAreHostsOfDataCentreAndAtLeastThree() {
        assertThat(membership(1, entryHosts(2)).voters(SLICE), hasSize(2));
        assertThat(membership(1, entryHosts(7)).voters(SLICE), hasSize(3));
        Membership large = membership(1, entryHosts(410));
        assertThat(large.voters(SLICE), hasSize(9));
        assertThat(
                large.voters(SLICE).stream().map(Host::getDataCentre).distinct().toList(), contains("north-a"));
    }

    @Test
    void removingHostPromotesNextCandidate() {
        List<Host> hosts = entryHosts(7);
        Membership before = membership(1, hosts);
        Host removed = before.preferredOwner(SLICE).orElseThrow();
        hosts.remove(removed);
        Membership after = membership(2, hosts);
        assertThat(after.preferredOwner(SLICE).orElseThrow(), is(not(removed)));
        assertThat(after.candidates(SLICE), equalTo(before.candidates(SLICE).subList(1, 7)));
    }

    // With hashing alone, one host may own several slices while others own none. That host then sends and receives
    // several times the intended control traffic, and its decisions are late.
    @Test
    void noHostOwnsMoreSlicesThanTheMeanRoundedUp() {
        List<Host> hosts = targets(200);
        hosts.addAll(entryHosts(60));
        Membership membership = membership(1, hosts);
        Map<String, Integer> owned = ownedSlices(membership);
        assertThat(membership.slices("llm"), hasSize(32));
        assertThat(Collections.max(owned.values()), is(2));
    }

    @Test
    void removingHostReassignsFewSlices() {
        List<Host> hosts = targets(200);
        hosts.addAll(entryHosts(60));
        Membership before = membership(1, hosts);
        Host removed = before.preferredOwner(before.slices("llm").get(0)).orElseThrow();
        hosts.remove(removed);
        Membership after = membership(2, hosts);
        long moved = before.slices("llm").stream()
                .filter(slice -> !before.preferredOwner(slice).equals(after.preferredOwner(slice)))
                .count();
        assertThat(moved, lessThanOrEqualTo(6L));
    }

    private static Map<String, Integer> ownedSlices(Membership membership) {
        Map<String, Integer> owned = new HashMap<>();
        for (SliceId slice : membership.slices()) {
            owned.merge(membership.preferredOwner(slice).orElseThrow().getName(), 1, Integer::sum);
        }
        return owned;
    }

    private static Membership membership(long revision, List<Host> hosts) {
        HostList list =
                HostList.newBuilder().setRevision(revision).addAllHosts(hosts).build();
        Document document = Document.newBuilder()
                .addDataCentres(DataCentre.newBuilder().setName("north-a").setRegion("north"))
                .addDataCentres(DataCentre.newBuilder().setName("north-b").setRegion("north"))
                .addDataCentres(DataCentre.newBuilder()
                        .setName("south-a")
                        .setRegion("south")
                        .setInService(false))
                .build();
        return Membership.of(list, document);
    }

    private static List<Host> entryHosts(int count) {
        String[] dataCentres = {"north-a", "north-b", "south-a"};
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(Host.newBuilder()
                    .setName("e" + i)
                    .setAddress("127.0." + (1 + i / 250) + "." + i % 250)
                    .setDataCentre(dataCentres[i % dataCentres.length])
                    .setState(HostState.LIVE)
                    .setEntry(EntryPorts.getDefaultInstance())
                    .build());
        }
        return hosts;
    }

    private static List<Host> targets(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(target("t" + i, "north-a", HostState.LIVE));
        }
        return hosts;
    }

    private static Host target(String name, String dataCentre, HostState state) {
        return Host.newBuilder()
                .setName(name)
                .setDataCentre(dataCentre)
                .setState(state)
                .setTarget(TargetInfo.newBuilder().setService("llm"))
                .build();
    }
}
