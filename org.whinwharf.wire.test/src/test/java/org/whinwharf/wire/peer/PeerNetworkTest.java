package org.whinwharf.wire.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.whinwharf.standin.LoopbackNetwork;
import org.whinwharf.wire.message.DocumentReply;
import org.whinwharf.wire.message.DocumentRequest;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.schema.PeerLimits;

class PeerNetworkTest {
    private static final LoopbackNetwork NETWORK = LoopbackNetwork.next();
    private static final String ADDRESS_A = NETWORK.address(1);
    private static final String ADDRESS_B = NETWORK.address(2);
    private static final String UNLISTED_ADDRESS = NETWORK.address(3);
    private static final PeerLimits LIMITS = PeerLimits.newBuilder()
            .setReconnectMillis(20)
            .setMaxReconnectMillis(100)
            .setIdleMillis(60_000)
            .setMaxFrameBytes(1 << 20)
            .setMaxQueuedFrames(64)
            .build();

    private final List<PeerNetwork> networks = new ArrayList<>();
    private final Set<String> unlisted = ConcurrentHashMap.newKeySet();
    private final RecordingListener atA = new RecordingListener();
    private final RecordingListener atB = new RecordingListener();

    @AfterEach
    void stopAll() {
        networks.forEach(PeerNetwork::stop);
    }

    @Test
    void framesArriveWholeAndInOrderInBothDirections() {
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        a.connect(new PeerAddress("host-b", Role.SCHEDULER, ADDRESS_B, b.port()));
        PeerLink toB = atA.awaitLinkUp();
        PeerLink toA = atB.awaitLinkUp();
        assertThat(toB.peer().getHost(), is("host-b"));
        assertThat(toA.peer().getHost(), is("host-a"));

        for (int i = 1; i <= 50; i++) {
            assertThat(toB.send(request(i)), is(true));
        }
        assertThat(toA.send(reply(200_000)), is(true));

        for (int i = 1; i <= 50; i++) {
            assertThat(atB.awaitFrame(), equalTo(request(i)));
        }
        assertThat(atA.awaitFrame(), equalTo(reply(200_000)));
    }

    // A host is replaced while its peers hold links to it. If they did not reconnect automatically, the replacement at
    // the same address would receive no requests and stay idle.
    @Test
    void reconnectsAfterThePeerRestarts() {
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork first = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        int port = first.port();
        a.connect(new PeerAddress("host-b", Role.SCHEDULER, ADDRESS_B, port));
        atA.awaitLinkUp();
        first.stop();
        atA.awaitLinkDown();
        atA.awaitUnreachablePeer();
        start("host-b", ADDRESS_B, port, atB, LIMITS);
        assertThat(atA.awaitLinkUp().peer().getHost(), is("host-b"));
    }

    // A program outside the fleet connects to the peer port. If its frames were processed, it could request grants and
    // overload a target.
    @Test
    void unlistedAddressIsClosedWithoutAHello() throws IOException {
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        try (Socket unlistedSocket = connect(UNLISTED_ADDRESS, b.port())) {
            assertThat(unlistedSocket.getInputStream().read(), is(-1));
        }
        assertThat(b.counters().count(PeerEvent.UNLISTED), is(1L));
    }

    // One peer sends malformed frames. If they affected other connections too, one faulty host would disconnect the
    // whole fleet.
    @Test
    void malformedFrameClosesOnlyItsOwnConnection() throws IOException {
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        a.connect(new PeerAddress("host-b", Role.SCHEDULER, ADDRESS_B, b.port()));
        PeerLink good = atA.awaitLinkUp();
        try (Socket malformedSocket = connect(ADDRESS_A, b.port())) {
            malformedSocket.getOutputStream().write(new byte[] {5, -1, -1, -1, -1, -1});
            assertThat(malformedSocket.getInputStream().read(), is(-1));
        }
        assertThat(b.counters().count(PeerEvent.MALFORMED), is(1L));
        assertThat(good.send(request(7)), is(true));
        assertThat(atB.awaitFrame(), equalTo(request(7)));
    }

    // A peer sends hello and then stops reading, as a suspended process does. If its queue were unbounded, the sender
    // would run out of memory and lose every request that it holds.
    @Test
    @Timeout(30)
    void sendIsRefusedWhenThePeerStopsReading() throws IOException {
        // Refused heartbeats count as refused sends too. The test waits for the first, which is sent at once; the long
        // interval prevents another one.
        PeerLimits oneHeartbeat = LIMITS.toBuilder().setHeartbeatMillis(60_000).build();
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, oneHeartbeat);
        try (Socket nonReadingSocket = connect(ADDRESS_A, b.port())) {
            Hello hello = hello("host-a").toBuilder()
                    .setProtocol(PeerNetwork.PROTOCOL_VERSION)
                    .build();
            Frame.newBuilder().setHello(hello).build().writeDelimitedTo(nonReadingSocket.getOutputStream());
            PeerLink link = atB.awaitLinkUp();
            while (b.counters().count(PeerEvent.FRAMES_OUT) == 0) {
                Thread.onSpinWait();
            }
            int accepted = 0;
            while (accepted < 10_000 && link.send(reply(100_000))) {
                accepted++;
            }
            assertThat(accepted, greaterThan(0));
            assertThat("frames accepted by the socket buffers and the queue", accepted, lessThanOrEqualTo(1_000));
            assertThat(b.counters().count(PeerEvent.SEND_REFUSED), is(1L));
        }
    }

    @Test
    void frameAboveTheLimitIsNotSent() {
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        a.connect(new PeerAddress("host-b", Role.SCHEDULER, ADDRESS_B, b.port()));
        PeerLink link = atA.awaitLinkUp();
        assertThat(link.send(reply(2 << 20)), is(false));
        assertThat(link.send(request(1)), is(true));
        assertThat(atB.awaitFrame(), equalTo(request(1)));
    }

    @Test
    void connectionsAboveTheLimitAreClosed() throws IOException {
        PeerLimits singleConnection = LIMITS.toBuilder().setMaxConnections(1).build();
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, singleConnection);
        a.connect(new PeerAddress("host-b", Role.SCHEDULER, ADDRESS_B, b.port()));
        atA.awaitLinkUp();
        try (Socket second = connect(ADDRESS_A, b.port())) {
            assertThat(second.getInputStream().read(), is(-1));
        }
        assertThat(b.counters().count(PeerEvent.TOO_MANY_CONNECTIONS), is(1L));
    }

    // After an error in the host list another process answers at the address. Frames for one process must not reach
    // another.
    @Test
    void processOfAnotherRoleIsRejectedAsWrongPeer() {
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        a.connect(new PeerAddress("host-b", Role.ENTRY, ADDRESS_B, b.port()));
        assertThat(atB.awaitLinkUp().peer().getHost(), is("host-a"));
        assertThat(atB.awaitLinkDown(), containsString("closed"));
        assertThat(a.counters().count(PeerEvent.WRONG_PEER), greaterThan(0L));
    }

    // A host is removed from the published list while its process still runs. Its link must be closed, or its frames
    // would be processed for as long as it keeps the connection open.
    @Test
    void linkOfAnUnlistedHostIsClosedOnRecheck() {
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        a.connect(new PeerAddress("host-b", Role.SCHEDULER, ADDRESS_B, b.port()));
        PeerLink toB = atA.awaitLinkUp();
        atB.awaitLinkUp();
        b.recheck();
        assertThat(toB.send(request(1)), is(true));
        assertThat(atB.awaitFrame(), equalTo(request(1)));
        unlisted.add("host-a");
        b.recheck();
        assertThat(atB.awaitLinkDown(), containsString("no longer"));
    }

    // The home of requests (an entry host) releases a link right after it has reported finished requests on it. If the
    // reports were dropped, their slots would stay occupied until they expire, and the target would stay idle.
    @Test
    void queuedFramesAreSentBeforeDisconnect() {
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        PeerAddress address = new PeerAddress("host-b", Role.SCHEDULER, ADDRESS_B, b.port());
        a.connect(address);
        PeerLink link = atA.awaitLinkUp();
        int queued = 0;
        while (link.send(reply(300_000))) {
            queued++;
        }
        a.disconnect(address);
        for (int i = 0; i < queued; i++) {
            assertThat(atB.awaitFrame(), equalTo(reply(300_000)));
        }
    }

    @Test
    void linkStaysWhileOneHolderWantsIt() {
        PeerNetwork a = start("host-a", ADDRESS_A, 0, atA, LIMITS);
        PeerNetwork b = start("host-b", ADDRESS_B, 0, atB, LIMITS);
        PeerAddress address = new PeerAddress("host-b", Role.SCHEDULER, ADDRESS_B, b.port());
        a.connect(address, "node");
        a.connect(address);
        PeerLink link = atA.awaitLinkUp();
        a.disconnect(address, "node");
        assertThat(link.send(request(3)), is(true));
        assertThat(atB.awaitFrame(), equalTo(request(3)));
        a.disconnect(address);
        atB.awaitLinkDown();
    }

    private PeerNetwork start(String host, String address, int port, PeerListener listener, PeerLimits limits) {
        PeerNetwork network = PeerNetwork.builder()
                .self(hello(host))
                .address(address)
                .port(port)
                .limits(limits)
                .filter(new Listed())
                .listener(listener)
                .call();
        networks.add(network);
        network.start();
        return network;
    }

    private static Hello hello(String host) {
        return Hello.newBuilder().setHost(host).setRole(Role.SCHEDULER).build();
    }

    private static Socket connect(String from, int port) throws IOException {
        return new Socket(InetAddress.getByName(ADDRESS_B), port, InetAddress.getByName(from), 0);
    }

    private static Frame request(long aboveGeneration) {
        return Frame.newBuilder()
                .setDocumentRequest(DocumentRequest.newBuilder().setAboveGeneration(aboveGeneration))
                .build();
    }

    private static Frame reply(int sizeBytes) {
        return Frame.newBuilder()
                .setDocumentReply(DocumentReply.newBuilder().setPublished(ByteString.copyFrom(new byte[sizeBytes])))
                .build();
    }

    private final class Listed implements PeerFilter {
        @Override
        public boolean admitsAddress(String address) {
            return Set.of(ADDRESS_A, ADDRESS_B).contains(address);
        }

        @Override
        public boolean admits(Hello hello, String address) {
            String listed = address.equals(ADDRESS_A) ? "host-a" : "host-b";
            return hello.getHost().equals(listed) && !unlisted.contains(listed);
        }
    }
}
