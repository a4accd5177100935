package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

/** Tests that fronts hear each other whatever other datagrams they receive. */
class PeerDatagramsTest {
    private final List<FrontFixture> fronts = new ArrayList<>();

    @BeforeEach
    void startFronts() throws Exception {
        fronts.add(new FrontFixture());
        fronts.add(new FrontFixture(List.of(fronts.get(0).ip())));
        fronts.forEach(front -> front.publishCatalog(1, 5_000));
        for (FrontFixture front : fronts) {
            FrontFixture.await(() -> front.advertisedFronts() == fronts.size());
        }
    }

    @AfterEach
    void stopFronts() throws IOException {
        for (FrontFixture front : fronts) {
            front.close();
        }
    }

    /** Guards against a peer whose address cannot be used and that keeps reports from all peers after it. */
    @Test
    void peerWithoutAnAddressKeepsReportsFromNoOther() throws Exception {
        MemberReport report = MemberReport.newBuilder()
                .setName("a-peer-without-address")
                .setIp("no address")
                .setIncarnation(1)
                .setPhase(MemberPhase.MEMBER_STARTING)
                .build();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * MemberTable.SUSPECT_TIMEOUT_MILLIS);
        for (int sequence = 1; System.nanoTime() < endNanos; sequence++) {
            sendToAll(FleetDatagram.newBuilder()
                    .setFrom(report.getName())
                    .addMembers(report.toBuilder().setSequence(sequence))
                    .build()
                    .toByteArray());
            TimeUnit.MILLISECONDS.sleep(100);
        }
        assertFrontsHearEachOther();
    }

    /** Guards against bytes that are no message, and whose sender would get no notice of them anywhere. */
    @Test
    void unreadableDatagramIsCounted() throws Exception {
        sendToAll(new byte[] {1, 2, 3, 4, 5});
        for (FrontFixture front : fronts) {
            FrontFixture.await(() -> front.counter("whinwharf_task_failures_total") > 0);
        }
        assertFrontsHearEachOther();
    }

    private void assertFrontsHearEachOther() {
        fronts.forEach(front -> assertThat(front.advertisedFronts(), is(fronts.size())));
    }

    private void sendToAll(byte[] bytes) throws IOException {
        try (DatagramSocket socket = new DatagramSocket()) {
            for (FrontFixture front : fronts) {
                InetAddress address = InetAddress.getByName(front.ip());
                socket.send(new DatagramPacket(bytes, bytes.length, address, FrontFixture.PEER_PORT));
            }
        }
    }
}
