package org.whinwharf.wire.peer.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerEvent;

/** Maintains one connection to one peer: reconnects with backoff whenever the connection is lost. */
public final class Connector {
    private final Bootstrap bootstrap;
    private final PeerAddress peer;
    private final Backoff backoff;
    private final LinkContext linkContext;
    private final Set<String> holders = new HashSet<>();
    private boolean stopped;
    private Channel channel;
    private Future<?> retry;

    /**
     * Creates a connector that does not connect before it has a holder.
     *
     * @param bootstrap bootstrap of the connection; its handler is set here
     * @param peer address of the peer
     * @param backoff delays between attempts
     * @param linkContext state that all links share
     * @param registry registry of open connections
     */
    public Connector(
            Bootstrap bootstrap,
            PeerAddress peer,
            Backoff backoff,
            LinkContext linkContext,
            ConnectionRegistry registry) {
        this.peer = peer;
        this.backoff = backoff;
        this.linkContext = linkContext;
        this.bootstrap = bootstrap.handler(LinkInitializer.outbound(linkContext, registry, peer, this::resetBackoff));
    }

    /**
     * Adds a holder, and connects if it is the first one.
     *
     * @param holder component that needs the link
     */
    public synchronized void acquire(String holder) {
        boolean first = holders.isEmpty();
        holders.add(holder);
        if (first) {
            connect();
        }
    }

    /**
     * Removes a holder, and closes the connection if it was the last one.
     *
     * @param holder component that no longer needs the link
     * @return true if no holder is left
     */
    public synchronized boolean release(String holder) {
        holders.remove(holder);
        if (holders.isEmpty()) {
            stop();
        }
        return holders.isEmpty();
    }

    /** Writes the queued frames, closes the connection and stops reconnecting. */
    public synchronized void stop() {
        stopped = true;
        if (retry != null) {
            retry.cancel(false);
        }
        if (channel != null) {
            ChannelCloser.closeAfterFlush(channel);
        }
    }

    private synchronized void connect() {
        if (!stopped) {
            ChannelFuture connectFuture = bootstrap.connect(peer.address(), peer.port());
            connectFuture.addListener(completed -> connectFinished(connectFuture));
        }
    }

    private synchronized void connectFinished(ChannelFuture connectFuture) {
        if (!connectFuture.isSuccess()) {
            linkContext.counters().add(PeerEvent.CONNECT_FAILED);
            linkContext.listener().unreachable(peer);
            scheduleReconnect(connectFuture.channel());
            return;
        }
        if (stopped) {
            // The connector was stopped while the connect was in progress, when it had no channel to close yet.
            connectFuture.channel().close();
            return;
        }
        linkContext.counters().add(PeerEvent.CONNECTED);
        channel = connectFuture.channel();
        channel.closeFuture().addListener(closed -> scheduleReconnect(connectFuture.channel()));
    }

    private synchronized void scheduleReconnect(Channel closedChannel) {
        if (!stopped) {
            retry = closedChannel.eventLoop().schedule(this::connect, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void resetBackoff() {
        backoff.reset();
    }
}
