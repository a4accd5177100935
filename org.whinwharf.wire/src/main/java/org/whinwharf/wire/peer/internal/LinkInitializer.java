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
    private static final int MAX_CONSOLIDATED_FLUSHES = 64;

    private final LinkContext linkContext;
    private final ConnectionRegistry registry;
    private final PeerAddress expectedPeer;
    private final Runnable onLinkUp;

    private LinkInitializer(LinkContext shared, ConnectionRegistry gate, PeerAddress called, Runnable onUp) {
        this.linkContext = shared;
        this.registry = gate;
        this.expectedPeer = called;
        this.onLinkUp = onUp;
    }

    /**
     * Makes the initializer of connections that others make.
     *
     * @param shared what all links share
     * @param gate lets connections in
     * @return an initializer
     */
    public static LinkInitializer inbound(LinkContext shared, ConnectionRegistry gate) {
        return new LinkInitializer(shared, gate, null, () -> {});
    }

    static LinkInitializer outbound(LinkContext shared, ConnectionRegistry gate, PeerAddress called, Runnable onUp) {
        return new LinkInitializer(shared, gate, called, onUp);
    }

    @Override
    protected void initChannel(Channel channel) {
        if (expectedPeer != null) {
            registry.add(channel);
        } else if (registry.admit(channel)) {
            linkContext.counters().add(PeerEvent.ACCEPTED);
        } else {
            channel.close();
            return;
        }
        addHandlers(channel.pipeline(), linkContext, expectedPeer, onLinkUp);
    }

    /**
     * Adds the handlers of one connection.
     *
     * @param pipeline where to add them
     * @param shared what all links share
     * @param called the peer that this process called; null when the other side called
     * @param onUp is run once when the link comes up
     */
    public static void addHandlers(ChannelPipeline pipeline, LinkContext shared, PeerAddress called, Runnable onUp) {
        FrameDecoder decoder = new FrameDecoder(shared.counters());
        pipeline.addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true));
        pipeline.addLast(decoder);
        // After the decoder, so that only whole frames count as life: a drip of single bytes keeps no link open.
        pipeline.addLast(new IdleStateHandler(shared.limits().idleTimeoutMillis(), 0, 0, TimeUnit.MILLISECONDS));
        pipeline.addLast(new LinkHandler(shared, decoder, called, onUp));
    }
}
