package org.whinwharf.wire.peer.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerEvent;

/** Builds the pipeline of each connection. */
public final class LinkInitializer extends ChannelInitializer<Channel> {
    private static final int FLUSHES_AT_ONCE = 64;

    private final LinkContext shared;
    private final ConnectionGate gate;
    private final PeerAddress called;
    private final Runnable onUp;

    private LinkInitializer(LinkContext shared, ConnectionGate gate, PeerAddress called, Runnable onUp) {
        this.shared = shared;
        this.gate = gate;
        this.called = called;
        this.onUp = onUp;
    }

    /**
     * Makes the initializer of connections that others make.
     *
     * @param shared what all links share
     * @param gate lets connections in
     * @return an initializer
     */
    public static LinkInitializer accepting(LinkContext shared, ConnectionGate gate) {
        return new LinkInitializer(shared, gate, null, () -> {});
    }

    static LinkInitializer calling(LinkContext shared, ConnectionGate gate, PeerAddress called, Runnable onUp) {
        return new LinkInitializer(shared, gate, called, onUp);
    }

    @Override
    protected void initChannel(Channel channel) {
        if (called != null) {
            gate.add(channel);
        } else if (gate.letIn(channel)) {
            shared.counters().add(PeerEvent.ACCEPTED);
        } else {
            channel.close();
            return;
        }
        build(channel.pipeline(), shared, called, onUp);
    }

    /**
     * Adds the handlers of one connection.
     *
     * @param pipeline where to add them
     * @param shared what all links share
     * @param called the peer that this process called; null when the other side called
     * @param onUp is run once when the link comes up
     */
    public static void build(ChannelPipeline pipeline, LinkContext shared, PeerAddress called, Runnable onUp) {
        FrameDecoder decoder = new FrameDecoder(shared.counters());
        pipeline.addLast(new FlushConsolidationHandler(FLUSHES_AT_ONCE, true));
        pipeline.addLast(decoder);
        // After the decoder, so that only whole frames count as life: a drip of single bytes keeps no link open.
        pipeline.addLast(new IdleStateHandler(shared.limits().idleMillis(), 0, 0, TimeUnit.MILLISECONDS));
        pipeline.addLast(new LinkHandler(shared, decoder, called, onUp));
    }
}
