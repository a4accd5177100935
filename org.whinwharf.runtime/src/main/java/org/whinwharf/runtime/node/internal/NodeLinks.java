package org.whinwharf.runtime.node.internal;

import java.util.function.Consumer;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.peer.PeerListener;

/** Divides what happens on links between the node and the daemon. */
public final class NodeLinks implements PeerListener {
    private final PeerListener daemon;
    private final Consumer<Consumer<NodeCore>> node;
    private final Ticker ticker;

    /**
     * Makes the divider.
     *
     * @param daemon listener of the daemon
     * @param node runs work on the node's thread
     * @param ticker monotonic clock
     */
    public NodeLinks(PeerListener daemon, Consumer<Consumer<NodeCore>> node, Ticker ticker) {
        this.daemon = daemon;
        this.node = node;
        this.ticker = ticker;
    }

    @Override
    public void linkUp(PeerLink link) {
        EventLog.event(LogEvent.LINK_UP).with(EventField.PEER, link.toString()).call();
        daemon.linkUp(link);
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        boolean heartbeat = frame.hasHeartbeat();
        if (heartbeat || frame.hasDocumentRequest() || frame.hasDocumentReply()) {
            node.accept(core -> core.received(link, frame, ticker.nowMillis()));
        }
        if (heartbeat || !(frame.hasDocumentRequest() || frame.hasDocumentReply())) {
            daemon.received(link, frame);
        }
    }

    @Override
    public void linkDown(PeerLink link, String reason) {
        EventLog.event(LogEvent.LINK_DOWN)
                .with(EventField.PEER, link.toString())
                .with(EventField.REASON, reason)
                .call();
        String peer = PeerChoice.name(link.peer().getHost(), link.peer().getRole());
        node.accept(core -> core.lost(peer));
        daemon.linkDown(link, reason);
    }

    @Override
    public void unreachable(PeerAddress peer) {
        node.accept(core -> core.lost(PeerChoice.name(peer.host(), peer.role())));
        daemon.unreachable(peer);
    }
}
