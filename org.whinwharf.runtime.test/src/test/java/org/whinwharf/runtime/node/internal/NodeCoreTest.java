package org.whinwharf.runtime.node.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;
import org.whinwharf.runtime.TestFleet;
import org.whinwharf.runtime.platform.PlatformAnswer;
import org.whinwharf.wire.message.DocumentReply;
import org.whinwharf.wire.message.DocumentRequest;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.schema.HostList;

class NodeCoreTest {
    private static final HostList TWO_HOSTS =
            TestFleet.list(7, TestFleet.host("host-a", "127.0.0.1", 7001), TestFleet.host("host-b", "127.0.0.2", 7001));
    private static final HostList ONE_HOST = TestFleet.list(7, TestFleet.host("host-a", "127.0.0.1", 7001));

    private final RecordedEffects effects = new RecordedEffects();
    private final NodeCore core = new NodeCore(
            "host-a", PeerChoice.name("host-a", Role.SCHEDULER), TestFleet.ENVIRONMENT, "http://127.0.0.1:1", effects);
    private final FakeLink peer = new FakeLink("host-b");

    @Test
    void saysWhyItIsNotReadyWhileThePlatformIsDown() {
        core.documentAnswered(new PlatformAnswer.Failed<>("connection refused"), 10);
        core.listAnswered(new PlatformAnswer.Failed<>("timed out"), 10, 20);
        assertThat(reasons(5_000), hasItem(containsString("host list has not been read: timed out")));
        assertThat(reasons(5_000), hasItem(containsString("no document is known: connection refused")));
    }

    // A host starts while the configuration service is stale: it still publishes the generation before a data centre
    // was taken out. If the new host served at once, that data centre would get new work through it.
    @Test
    void newHostTakesThePeersHigherGenerationBeforeItServes() {
        core.listAnswered(new PlatformAnswer.Changed<>(TWO_HOSTS), 0, 0);
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(3)), 5);
        assertThat(effects.connected, hasSize(1));
        assertThat(reasons(10), not(empty()));

        core.received(peer, heartbeat(4), 20);
        assertThat(peer.sent, contains(request(3)));
        assertThat(reasons(25), not(empty()));
        core.received(peer, reply(4, TestFleet.document(4)), 30);

        assertThat(generation(), is(4L));
        assertThat(reasons(31), empty());
    }

    // The configuration service is down while hosts are replaced. The document lives on in the peers only.
    @Test
    void hostThatStartsDuringAnOutageServesByItsPeersDocument() {
        core.documentAnswered(new PlatformAnswer.Failed<>("connection refused"), 0);
        core.listAnswered(new PlatformAnswer.Changed<>(TWO_HOSTS), 0, 0);
        core.received(peer, heartbeat(9), 20);
        core.received(peer, reply(9, TestFleet.document(9)), 30);
        assertThat(generation(), is(9L));
        assertThat(reasons(31), empty());
    }

    // The platform comes back from an outage with the document of last week. If a process followed it, a data centre
    // that is out would get work again.
    @Test
    void olderDocumentOfAReturningPlatformChangesNothing() {
        core.listAnswered(new PlatformAnswer.Changed<>(ONE_HOST), 0, 0);
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(5)), 0);
        core.documentAnswered(new PlatformAnswer.Failed<>("down"), 100);
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(4)), 200);
        assertThat(generation(), is(5L));
        assertThat(effects.generations, contains(5L));
    }

    // An operator publishes a broken document. The fleet must go on under the last good one, and say so everywhere.
    @Test
    void invalidDocumentIsReportedAndChangesNothing() {
        core.listAnswered(new PlatformAnswer.Changed<>(ONE_HOST), 0, 0);
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(5)), 0);
        core.documentAnswered(new PlatformAnswer.Changed<>("{\"generation\": 6,".getBytes(StandardCharsets.UTF_8)), 9);
        assertThat(generation(), is(5L));
        assertThat(core.snapshot(10).faults(), hasItem(containsString("refused")));
        assertThat(reasons(10), empty());
    }

    // A peer of a newer version holds a document that this version finds invalid. Asking for it at each heartbeat
    // would move a megabyte twice a second on every link.
    @Test
    void peersInvalidDocumentIsAskedForOnce() {
        core.listAnswered(new PlatformAnswer.Changed<>(TWO_HOSTS), 0, 0);
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(5)), 0);
        core.received(peer, heartbeat(6), 10);
        core.received(peer, reply(6, new byte[] {1, 2, 3}), 20);
        for (long now = 500; now < 10_000; now += 500) {
            core.received(peer, heartbeat(6), now);
        }
        assertThat(peer.sent, hasSize(1));
        core.received(peer, heartbeat(7), 10_000);
        assertThat(peer.sent, hasSize(2));
    }

    // Two operators promote at once and both documents carry generation 5. Half of the fleet follows one, half the
    // other, and nothing but their digests tells them apart.
    @Test
    void otherDocumentOfTheSameGenerationIsReportedAndNotFollowed() {
        core.listAnswered(new PlatformAnswer.Changed<>(TWO_HOSTS), 0, 0);
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(5)), 0);
        core.received(peer, heartbeat(5), 5);
        assertThat(core.snapshot(6).faults(), empty());
        core.received(peer, heartbeat(5, 4711), 10);
        assertThat(core.snapshot(20).faults(), hasItem(containsString("host-b")));
        assertThat(peer.sent, empty());
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(6)), 30);
        assertThat(core.snapshot(40).faults(), empty());
    }

    // The peer that was asked dies before it answers; another one must be asked instead.
    @Test
    void anotherPeerIsAskedWhenTheFirstIsLost() {
        FakeLink other = new FakeLink("host-c");
        core.listAnswered(new PlatformAnswer.Changed<>(TWO_HOSTS), 0, 0);
        core.received(peer, heartbeat(6), 10);
        core.received(other, heartbeat(6), 11);
        assertThat(other.sent, empty());
        core.lost(PeerChoice.name("host-b", Role.SCHEDULER));
        core.received(other, heartbeat(6), 500);
        assertThat(other.sent, hasSize(1));
    }

    // All peers in the list are dead hosts that the list still shows. A lone survivor must not wait for them for ever.
    @Test
    void servesAfterItsPatienceWhenPeersAreSilent() {
        core.listAnswered(new PlatformAnswer.Changed<>(TWO_HOSTS), 0, 1_000);
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(1)), 1_000);
        assertThat(reasons(1_000 + NodeCore.PATIENCE_MILLIS - 1), not(empty()));
        assertThat(reasons(1_000 + NodeCore.PATIENCE_MILLIS), empty());
    }

    // Replicas of the host list lag unequally, so a later answer can hold an earlier revision. A fencing number made
    // from it would fall, and an answer from the past must not make the list look fresh.
    @Test
    void earlierRevisionIsRefusedAndDoesNotCountAsHeard() {
        core.documentAnswered(new PlatformAnswer.Changed<>(TestFleet.document(1)), 0);
        core.listAnswered(new PlatformAnswer.Changed<>(TestFleet.list(9)), 100, 110);
        core.listAnswered(new PlatformAnswer.Changed<>(TestFleet.list(8)), 200, 210);
        assertThat(core.snapshot(300).revision(), is(9L));
        assertThat(core.snapshot(300).listHeardAtMillis().orElseThrow(), is(100L));
        assertThat(effects.revisions, contains(9L));
    }

    @Test
    void answersADocumentRequestWithWhatItHolds() {
        byte[] published = TestFleet.document(5);
        core.documentAnswered(new PlatformAnswer.Changed<>(published), 0);
        core.received(peer, request(4), 10);
        core.received(peer, request(5), 20);
        assertThat(peer.sent, contains(reply(5, published), reply(5, new byte[0])));
    }

    @Test
    void changedListMovesLinksToTheNewPeers() {
        core.listAnswered(new PlatformAnswer.Changed<>(TWO_HOSTS), 0, 0);
        HostList later = TestFleet.list(
                8, TestFleet.host("host-a", "127.0.0.1", 7001), TestFleet.host("host-c", "127.0.0.3", 7001));
        core.listAnswered(new PlatformAnswer.Changed<>(later), 0, 0);
        assertThat(effects.connected, contains("host-c"));
    }

    private List<String> reasons(long nowMillis) {
        return core.snapshot(nowMillis).reasons();
    }

    private long generation() {
        return core.snapshot(0).document().orElseThrow().generation();
    }

    private static Frame heartbeat(long generation) {
        return heartbeat(generation, 0);
    }

    private static Frame heartbeat(long generation, long digestPrefix) {
        return Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setGeneration(generation).setDocumentDigest(digestPrefix))
                .build();
    }

    private static Frame request(long above) {
        return Frame.newBuilder()
                .setDocumentRequest(DocumentRequest.newBuilder().setAboveGeneration(above))
                .build();
    }

    private static Frame reply(long generation, byte[] published) {
        return Frame.newBuilder()
                .setDocumentReply(DocumentReply.newBuilder()
                        .setGeneration(generation)
                        .setPublished(ByteString.copyFrom(published)))
                .build();
    }

    private static final class FakeLink implements PeerLink {
        private final Hello hello;
        private final List<Frame> sent = new ArrayList<>();

        FakeLink(String host) {
            hello = Hello.newBuilder().setHost(host).setRole(Role.SCHEDULER).build();
        }

        @Override
        public Hello peer() {
            return hello;
        }

        @Override
        public boolean send(Frame frame) {
            return sent.add(frame);
        }

        @Override
        public void close(String reason) {
            assertThat(reason, equalTo(""));
        }
    }

    private static final class RecordedEffects implements NodeEffects {
        private final List<String> connected = new ArrayList<>();
        private final List<Long> generations = new ArrayList<>();
        private final List<Long> revisions = new ArrayList<>();

        @Override
        public void connect(PeerAddress address) {
            connected.add(address.host());
        }

        @Override
        public void disconnect(PeerAddress address) {
            connected.remove(address.host());
        }

        @Override
        public void documentChanged(DocumentView document) {
            generations.add(document.generation());
        }

        @Override
        public void membershipChanged(Membership membership) {
            revisions.add(membership.revision());
        }
    }
}
