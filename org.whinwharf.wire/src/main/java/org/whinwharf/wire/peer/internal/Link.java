package org.whinwharf.wire.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.peer.PeerEvent;
import org.whinwharf.wire.peer.PeerLink;

/** Peer link over one Netty channel. */
final class Link implements PeerLink {
    private final Channel channel;
    private final Hello peer;
    private final LinkLimits limits;
    private final LinkCounters counters;
    private final AtomicInteger queuedFrames = new AtomicInteger();
    private final AtomicReference<String> closeReason = new AtomicReference<>();

    Link(Channel channel, Hello peer, LinkContext context) {
        this.channel = channel;
        this.peer = peer;
        this.limits = context.limits();
        this.counters = context.counters();
    }

    @Override
    public Hello peer() {
        return peer;
    }

    @Override
    public boolean send(Frame frame) {
        if (frame.getSerializedSize() > limits.maxFrameBytes()) {
            counters.add(PeerEvent.SEND_OVERSIZED);
            return false;
        }
        // Limits the queue by frames and by bytes, so that a peer that does not read cannot exhaust the heap.
        if (!channel.isActive() || !channel.isWritable() || !reserveQueueSlot()) {
            counters.add(PeerEvent.SEND_REFUSED);
            return false;
        }
        ByteBuf buffer = FrameEncoder.encode(channel.alloc(), frame);
        counters.add(PeerEvent.FRAMES_OUT);
        counters.add(PeerEvent.BYTES_OUT, buffer.readableBytes());
        channel.writeAndFlush(buffer).addListener(completed -> queuedFrames.decrementAndGet());
        return true;
    }

    @Override
    public void close(String reason) {
        if (closeReason.compareAndSet(null, reason)) {
            ChannelCloser.closeAfterFlush(channel);
        }
    }

    Channel channel() {
        return channel;
    }

    String closeReason(String fallback) {
        String reason = closeReason.get();
        return reason == null ? fallback : reason;
    }

    private boolean reserveQueueSlot() {
        if (queuedFrames.incrementAndGet() <= limits.maxQueuedFrames()) {
            return true;
        }
        queuedFrames.decrementAndGet();
        return false;
    }

    @Override
    public String toString() {
        return peer.getHost() + "/" + peer.getRole() + "@" + channel.remoteAddress();
    }
}
