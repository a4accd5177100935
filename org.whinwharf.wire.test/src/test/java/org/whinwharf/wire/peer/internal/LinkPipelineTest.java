package org.whinwharf.wire.peer.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.message.DocumentRequest;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerEvent;
import org.whinwharf.wire.peer.PeerFilter;
import org.whinwharf.wire.peer.PeerNetwork;
import org.whinwharf.wire.peer.RecordingListener;
import org.whinwharf.wire.schema.PeerLimits;

class LinkPipelineTest {
    private static final int MAX_FRAME_BYTES = 4_096;
    private static final int IDLE_MILLIS = 1_000;
    private static final PeerLimits LIMITS = PeerLimits.newBuilder()
            .setMaxFrameBytes(MAX_FRAME_BYTES)
            .setIdleMillis(IDLE_MILLIS)
            .setHeartbeatMillis(200)
            .build();

    private final RecordingListener listener = new RecordingListener();
    private final LinkCounters counters = new LinkCounters();
    private final EmbeddedChannel channel = channel();

    @Test
    void acceptedPeerReceivesHelloAndThenHeartbeats() {
        send(hello(PeerNetwork.PROTOCOL_VERSION, "listed"));
        assertThat(sent().hasHello(), is(true));
        channel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(sent().getHeartbeat().getGeneration(), is(42L));
    }

    @Test
    void frameReceivedInPiecesIsReassembled() {
        send(hello(PeerNetwork.PROTOCOL_VERSION, "listed"));
        Frame frame = request();
        ByteBuf bytes = FrameEncoder.encode(channel.alloc(), frame);
        while (bytes.isReadable()) {
            channel.writeInbound(bytes.readRetainedSlice(1));
        }
        bytes.release();
        assertThat(listener.awaitFrame(), equalTo(frame));
    }

    @Test
    void unlistedHostReceivesNothingAndIsClosed() {
        send(hello(PeerNetwork.PROTOCOL_VERSION, "unlisted"));
        assertClosed(PeerEvent.UNLISTED);
        assertThat(channel.readOutbound(), nullValue());
    }

    @Test
    void otherProtocolVersionIsClosed() {
        send(hello(PeerNetwork.PROTOCOL_VERSION + 1, "listed"));
        assertClosed(PeerEvent.PROTOCOL_MISMATCH);
    }

    @Test
    void firstFrameOtherThanHelloIsClosed() {
        send(request());
        assertClosed(PeerEvent.UNKNOWN_FRAME);
    }

    @Test
    void unknownKindOfFrameIsClosed() {
        send(hello(PeerNetwork.PROTOCOL_VERSION, "listed"));
        send(Frame.getDefaultInstance());
        assertClosed(PeerEvent.UNKNOWN_FRAME);
    }

    // An unidentified sender announces a frame of a gigabyte. If the decoder buffered it, memory would fill up before
    // the sender is identified.
    @Test
    void hugeFirstFrameIsClosedByItsLengthAlone() {
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {-128, -128, -128, -128, 4}));
        assertClosed(PeerEvent.OVERSIZED);
    }

    @Test
    void frameAboveTheLimitIsClosedByItsLengthAlone() {
        send(hello(PeerNetwork.PROTOCOL_VERSION, "listed"));
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {-127, 32}));
        assertClosed(PeerEvent.OVERSIZED);
    }

    @Test
    void overlongLengthPrefixIsClosed() {
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {-1, -1, -1, -1, -1, -1}));
        assertClosed(PeerEvent.MALFORMED);
    }

    // A host loses power, so that its connection ends without an end of stream. If the link stayed open, requests would
    // be queued at the dead host until their deadlines.
    @Test
    void idleTimeoutClosesTheLink() {
        send(hello(PeerNetwork.PROTOCOL_VERSION, "listed"));
        advanceTime(IDLE_MILLIS - 1);
        assertThat(channel.isOpen(), is(true));
        advanceTime(1);
        assertClosed(PeerEvent.IDLE);
    }

    // An unidentified sender sends single bytes and never a complete frame, to keep a connection open for ever.
    @Test
    void incompleteFrameDoesNotResetTheIdleTimeout() {
        for (int i = 0; i < 10 && channel.isOpen(); i++) {
            channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {i == 0 ? (byte) 100 : 0}));
            advanceTime(IDLE_MILLIS / 5);
        }
        assertClosed(PeerEvent.IDLE);
    }

    private void advanceTime(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void assertClosed(PeerEvent event) {
        assertThat(channel.isOpen(), is(false));
        assertThat(counters.count(event), is(1L));
    }

    private void send(Frame frame) {
        channel.writeInbound(FrameEncoder.encode(channel.alloc(), frame));
    }

    private Frame sent() {
        ByteBuf bytes = channel.readOutbound();
        EmbeddedChannel reader = new EmbeddedChannel(new FrameDecoder(new LinkCounters()));
        reader.writeInbound(bytes);
        return reader.readInbound();
    }

    private EmbeddedChannel channel() {
        Hello self = Hello.newBuilder()
                .setHost("self")
                .setRole(Role.ENTRY)
                .setProtocol(PeerNetwork.PROTOCOL_VERSION)
                .build();
        LinkContext linkContext = new LinkContext(
                self,
                LinkLimits.of(LIMITS),
                new ListedOnly(),
                listener,
                () -> Heartbeat.newBuilder().setGeneration(42).build(),
                counters);
        EmbeddedChannel embedded = new EmbeddedChannel();
        embedded.freezeTime();
        LinkInitializer.addHandlers(embedded.pipeline(), linkContext, null, () -> {});
        return embedded;
    }

    private static Frame hello(int protocol, String host) {
        Hello hello = Hello.newBuilder()
                .setHost(host)
                .setRole(Role.ENTRY)
                .setProtocol(protocol)
                .build();
        return Frame.newBuilder().setHello(hello).build();
    }

    private static Frame request() {
        return Frame.newBuilder()
                .setDocumentRequest(DocumentRequest.newBuilder().setAboveGeneration(300))
                .build();
    }

    private static final class ListedOnly implements PeerFilter {
        @Override
        public boolean admitsAddress(String address) {
            return true;
        }

        @Override
        public boolean admits(Hello hello, String address) {
            return hello.getHost().equals("listed");
        }
    }
}
