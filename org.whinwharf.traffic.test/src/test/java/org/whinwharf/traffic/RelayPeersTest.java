package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.path.RelayPeers;
import org.whinwharf.wire.fleet.MemberReport;

class RelayPeersTest {
    private static final int DRAWS = 50;

    private final List<Member> serving = new ArrayList<>();
    private final RelayPeers peers = new RelayPeers("local", nowMillis -> serving, new Random(1));

    /** Guards against carrying the bytes of each relayed request between data centres twice. */
    @Test
    void peerInDataCentreOfTargetIsPreferred() {
        serving("local", "a", 7_000, false);
        serving("near", "a", 7_000, false);
        serving("far", "b", 7_000, false);
        for (int i = 0; i < DRAWS; i++) {
            assertThat(choose("a", List.of()), is("near"));
        }
        assertThat(choose("a", List.of("near")), is("far"));
        assertThat(choose("a", List.of("near", "far")), is(""));
    }

    /** Guards against asking peers that reach no target themselves, or that run a version without relays. */
    @Test
    void peersThatCannotRelayAreNotChosen() {
        serving("partitioned", "a", 7_000, true);
        serving("old", "a", 0, false);
        assertThat(choose("a", List.of()), is(""));
        assertThat(peers.available(0), is(false));
    }

    /** Guards against asking a dead peer for each request until it is suspected. */
    @Test
    void failedPeerIsSkippedForAWhile() {
        serving("peer", "a", 7_000, false);
        peers.skip("peer", 0);
        assertThat(peers.choose("a", List.of(), 999), is(Optional.empty()));
        assertThat(peers.usable("peer", 999), is(false));
        assertThat(peers.choose("a", List.of(), 1_000).isPresent(), is(true));
        assertThat(peers.usable("peer", 1_000), is(true));
        assertThat(peers.usable("gone", 1_000), is(false));
    }

    private String choose(String dataCentre, List<String> asked) {
        return peers.choose(dataCentre, asked, 0).map(MemberReport::getName).orElse("");
    }

    private void serving(String name, String dataCentre, int relayPort, boolean partitioned) {
        MemberReport report = MemberReport.newBuilder()
                .setName(name)
                .setDataCentre(dataCentre)
                .setRelayPort(relayPort)
                .setPartitioned(partitioned)
                .build();
        serving.add(new Member(report, 1, 0));
    }
}
