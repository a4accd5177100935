package org.whinwharf.wire.peer.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerEvent;

/** Initialises the channel pipeline of each connection. */
public final class LinkInitializer extends ChannelInitializer<Channel> {
    private static final int MAX_CONSOLIDATED_FLUSHES = 64;

    private final LinkContext linkContext;
    private final ConnectionRegistry registry;
    private final PeerAddress expectedPeer;
    private final Runnable onLinkUp;

    private LinkInitializer(
            LinkContext linkContext, ConnectionRegistry registry, PeerAddress expectedPeer, Runnable onLinkUp) {
        this.linkContext = linkContext;
        this.registry = registry;
        this.expectedPeer = expectedPeer;
        this.onLinkUp = onLinkUp;
    }

    /**
     * Returns an initialiser for inbound connections.
     *
     * @param linkContext state that all links share
     * @param registry admits inbound connections
     * @return an initialiser
     */
    public static LinkInitializer inbound(LinkContext linkContext, ConnectionRegistry registry) {
        return new LinkInitializer(linkContext, registry, null, () -> {});
    }

    static LinkInitializer outbound(
            LinkContext linkContext, ConnectionRegistry registry, PeerAddress expectedPeer, Runnable onLinkUp) {
        return new LinkInitializer(linkContext, registry, expectedPeer, onLinkUp);
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
     * @param pipeline pipeline of the connection
     * @param linkContext state that all links share
     * @param expectedPeer peer that this process connected to; null for an inbound connection
     * @param onLinkUp runs once when the link comes up
     */
    public static void addHandlers(
            ChannelPipeline pipeline, LinkContext linkContext, PeerAddress expectedPeer, Runnable onLinkUp) {
        FrameDecoder decoder = new FrameDecoder(linkContext.counters());
        pipeline.addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true));
        pipeline.addLast(decoder);
        // Placed after the decoder, so that only complete frames reset the idle timeout: a sender of single bytes
        // cannot keep a link open.
        pipeline.addLast(new IdleStateHandler(linkContext.limits().idleTimeoutMillis(), 0, 0, TimeUnit.MILLISECONDS));
        pipeline.addLast(new LinkHandler(linkContext, decoder, expectedPeer, onLinkUp));
    }
}
