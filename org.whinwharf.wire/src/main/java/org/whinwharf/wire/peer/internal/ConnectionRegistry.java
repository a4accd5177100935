package org.whinwharf.wire.peer.internal;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.whinwharf.wire.peer.PeerEvent;

/** Open connections of one network, and which new ones are let in. */
public final class ConnectionRegistry {
    private final int maxConnections;
    private final LinkContext linkContext;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /**
     * Makes a gate without connections.
     *
     * @param maxConnections most open connections
     * @param shared what all links share
     */
    public ConnectionRegistry(int maxConnections, LinkContext shared) {
        this.maxConnections = maxConnections;
        this.linkContext = shared;
    }

    /**
     * Returns how many connections are open.
     *
     * @return number of connections
     */
    public int openConnections() {
        return channels.size();
    }

    /**
     * Sends what is queued and closes all connections.
     *
     * @param timeoutMillis longest wait
     */
    public void closeAll(long timeoutMillis) {
        for (Channel channel : channels) {
            ChannelCloser.closeAfterFlush(channel);
        }
        channels.newCloseFuture().awaitUninterruptibly(timeoutMillis);
        channels.close().awaitUninterruptibly(timeoutMillis);
    }

    /** Closes each link whose peer the filter admits no more. */
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
