package org.whinwharf.runtime.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.whinwharf.runtime.admin.AdminRoute;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.peer.PeerListener;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.status.NodeStatus;

/** Describes a node. */
public final class NodeBuilder {
    private static final long LIST_WAIT_MILLIS = 10_000;
    private static final long START_SPREAD_MILLIS = 1_500;

    NodeSettings settings;
    Role role;
    Ticker ticker = Ticker.system();
    NodeListener listener = new NodeListener() {};
    PeerListener peers = new NoPeers();
    Supplier<List<String>> readiness = List::of;
    Consumer<NodeStatus.Builder> status = each -> {};
    long listWaitMillis = LIST_WAIT_MILLIS;
    long startSpreadMillis = START_SPREAD_MILLIS;
    final List<AdminRoute> routes = new ArrayList<>();

    NodeBuilder() {}

    /**
     * Sets the settings.
     *
     * @param settings checked settings
     * @return this builder
     */
    public NodeBuilder settings(NodeSettings settings) {
        this.settings = settings;
        return this;
    }

    /**
     * Sets the role.
     *
     * @param role role of this process
     * @return this builder
     */
    public NodeBuilder role(Role role) {
        this.role = role;
        return this;
    }

    /**
     * Sets the clock.
     *
     * @param ticker monotonic clock
     * @return this builder
     */
    public NodeBuilder ticker(Ticker ticker) {
        this.ticker = ticker;
        return this;
    }

    /**
     * Sets who is told of documents and memberships.
     *
     * @param listener the listener
     * @return this builder
     */
    public NodeBuilder listener(NodeListener listener) {
        this.listener = listener;
        return this;
    }

    /**
     * Sets who is told of links and frames. Requests for documents and their replies stay with the node; heartbeats go
     * to both.
     *
     * @param peers the listener
     * @return this builder
     */
    public NodeBuilder peers(PeerListener peers) {
        this.peers = peers;
        return this;
    }

    /**
     * Sets why the daemon itself is not ready.
     *
     * @param readiness gives reasons in words, none when it is ready; called by several threads
     * @return this builder
     */
    public NodeBuilder readiness(Supplier<List<String>> readiness) {
        this.readiness = readiness;
        return this;
    }

    /**
     * Sets what the daemon adds to the status.
     *
     * @param status adds to the status; called by several threads
     * @return this builder
     */
    public NodeBuilder status(Consumer<NodeStatus.Builder> status) {
        this.status = status;
        return this;
    }

    /**
     * Adds a route for operators.
     *
     * @param route the route
     * @return this builder
     */
    public NodeBuilder route(AdminRoute route) {
        routes.add(route);
        return this;
    }

    /**
     * Sets the longest wait of a read of the host list. Who needs to know soon that the list is fresh waits shorter.
     *
     * @param listWaitMillis milliseconds
     * @return this builder
     */
    public NodeBuilder listWaitMillis(long listWaitMillis) {
        this.listWaitMillis = listWaitMillis;
        return this;
    }

    /**
     * Sets the time over which the first reads of a fleet of unknown size are spread.
     *
     * @param startSpreadMillis milliseconds
     * @return this builder
     */
    public NodeBuilder startSpreadMillis(long startSpreadMillis) {
        this.startSpreadMillis = startSpreadMillis;
        return this;
    }

    /**
     * Makes the node. Opens no port.
     *
     * @return a node, not yet started
     */
    public Node call() {
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(role, "role");
        return new Node(this);
    }

    private static final class NoPeers implements PeerListener {
        @Override
        public void linkUp(PeerLink link) {
            // The node itself needs no more than the frames.
        }

        @Override
        public void received(PeerLink link, Frame frame) {
            // Frames of other daemons mean nothing to a daemon without peers.
        }

        @Override
        public void linkDown(PeerLink link, String reason) {
            // See linkUp.
        }
    }
}
