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

/** Keeps one connection to one peer: connects again after each end, with a growing wait. */
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
     * Makes a connector that does nothing yet.
     *
     * @param bootstrap makes the connection; its handler is set here
     * @param peer where the peer listens
     * @param backoff waits between attempts
     * @param shared what all links share
     * @param gate knows the open connections
     */
    public Connector(Bootstrap bootstrap, PeerAddress peer, Backoff backoff, LinkContext shared, ConnectionRegistry gate) {
        this.peer = peer;
        this.backoff = backoff;
        this.linkContext = shared;
        this.bootstrap = bootstrap.handler(LinkInitializer.outbound(shared, gate, peer, this::resetBackoff));
    }

    /**
     * Connects when this is the first holder.
     *
     * @param holder who wants the link
     */
    public synchronized void acquire(String holder) {
        boolean first = holders.isEmpty();
        holders.add(holder);
        if (first) {
            connect();
        }
    }

    /**
     * Closes the connection when this was the last holder.
     *
     * @param holder who wants the link no more
     * @return true when nobody is left
     */
    public synchronized boolean release(String holder) {
        holders.remove(holder);
        if (holders.isEmpty()) {
            stop();
        }
        return holders.isEmpty();
    }

    /** Sends what is queued, closes the connection and connects no more. */
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
            ChannelFuture connecting = bootstrap.connect(peer.address(), peer.port());
            connecting.addListener(done -> connectFinished(connecting));
        }
    }

    private synchronized void connectFinished(ChannelFuture connecting) {
        if (!connecting.isSuccess()) {
            linkContext.counters().add(PeerEvent.CONNECT_FAILED);
            linkContext.listener().unreachable(peer);
            scheduleReconnect(connecting.channel());
            return;
        }
        if (stopped) {
            // Given up while the connection was being made; before that there was nothing that could be closed.
            connecting.channel().close();
            return;
        }
        linkContext.counters().add(PeerEvent.CONNECTED);
        channel = connecting.channel();
        channel.closeFuture().addListener(closed -> scheduleReconnect(connecting.channel()));
    }

    private synchronized void scheduleReconnect(Channel ended) {
        if (!stopped) {
            retry = ended.eventLoop().schedule(this::connect, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void resetBackoff() {
        backoff.reset();
    }
}
