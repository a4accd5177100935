package org.whinwharf.wire.peer.internal;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.whinwharf.wire.peer.PeerEvent;

/** Tracks the open connections of one network and decides which inbound connections are admitted. */
public final class ConnectionRegistry {
    private final int maxConnections;
    private final LinkContext linkContext;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /**
     * Creates an empty registry.
     *
     * @param maxConnections maximum number of open connections
     * @param linkContext state that all links share
     */
    public ConnectionRegistry(int maxConnections, LinkContext linkContext) {
        this.maxConnections = maxConnections;
        this.linkContext = linkContext;
    }

    /**
     * Returns the number of open connections.
     *
     * @return number of connections
     */
    public int openConnections() {
        return channels.size();
    }

    /**
     * Writes the queued data and closes all connections.
     *
     * @param timeoutMillis time limit for writing, and again for closing what is still open
     */
    public void closeAll(long timeoutMillis) {
        for (Channel channel : channels) {
            ChannelCloser.closeAfterFlush(channel);
        }
        channels.newCloseFuture().awaitUninterruptibly(timeoutMillis);
        channels.close().awaitUninterruptibly(timeoutMillis);
    }

    /** Closes each link whose peer the filter no longer admits. */
    public void recheck() {
        for (Channel channel : channels) {
            LinkHandler handler = channel.pipeline().get(LinkHandler.class);
            if (handler != null) {
                channel.eventLoop().execute(handler::recheck);
            }
        }
    }

    boolean admit(Channel channel) {
        if (channels.size() >= maxConnections) {
            linkContext.counters().add(PeerEvent.TOO_MANY_CONNECTIONS);
            return false;
        }
        if (!linkContext.filter().admitsAddress(LinkHandler.addressOf(channel))) {
            linkContext.counters().add(PeerEvent.UNLISTED);
            return false;
        }
        return channels.add(channel);
    }

    void add(Channel channel) {
        channels.add(channel);
    }
}
