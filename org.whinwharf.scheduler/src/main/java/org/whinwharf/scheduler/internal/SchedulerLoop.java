package org.whinwharf.scheduler.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.owner.SchedulerAction;
import org.whinwharf.owner.SchedulerConfiguration;
import org.whinwharf.owner.SchedulerCore;
import org.whinwharf.owner.SchedulerEvent;
import org.whinwharf.owner.placement.PlacementStrategy;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.status.SliceState;

/** Passes events to {@link SchedulerCore} and performs its actions. Confined to the duty that makes decisions. */
public final class SchedulerLoop {
    private static final long SNAPSHOT_INTERVAL_MILLIS = 500;

    private final Node node;
    private final Ticker ticker;
    private final SchedulerLinks links;
    private final LoadPoller poller;
    private final SchedulerMetrics metrics;
    private final SchedulerSpans spans;
    private final SchedulerLog log = new SchedulerLog();
    private final SchedulerCore core;
    private final Set<PeerAddress> connectedPeers = new HashSet<>();
    private SchedulerConfiguration configuration;
    private Membership membership;
    private CompletableFuture<Void> handedOver;
    private long lastSnapshotMillis;
    private volatile List<SliceState> states = List.of();
    private volatile List<String> slicesNotHandedOver = List.of();

    /**
     * Creates the loop.
     *
     * @param node node of this process, with its clock, network and tracer
     * @param links links to other processes
     * @param poller poller of target loads
     * @param metrics metrics of the scheduler
     * @param placement strategy that chooses targets
     */
    public SchedulerLoop(
            Node node, SchedulerLinks links, LoadPoller poller, SchedulerMetrics metrics, PlacementStrategy placement) {
        this.node = node;
        this.ticker = node.ticker();
        this.links = links;
        this.poller = poller;
        this.metrics = metrics;
        this.spans = new SchedulerSpans(node);
        ProcessId self = new ProcessId(node.settings().getHost(), node.incarnation());
        this.core = new SchedulerCore(self, placement, ticker.nowMillis());
    }

    /**
     * Returns the latest snapshot of the slices; safe for use by several threads.
     *
     * @return state of each slice
     */
    public List<SliceState> states() {
        return states;
    }

    /**
     * Returns the slices that a planned stop has not handed over, as of the last tick; safe for use by several threads.
     *
     * @return names as in the log; empty before a planned stop
     */
    public List<String> slicesNotHandedOver() {
        return slicesNotHandedOver;
    }

    /**
     * Applies a new document.
     *
     * @param newConfiguration scheduler settings from the document
     */
    public void documentChanged(SchedulerConfiguration newConfiguration) {
        configuration = newConfiguration;
        applyConfiguration();
    }

    /**
     * Applies a new view of the host list.
     *
     * @param newMembership the new view
     */
    public void membershipChanged(Membership newMembership) {
        membership = newMembership;
        applyConfiguration();
    }

    /**
     * Begins a planned stop.
     *
     * @param whenHandedOver completed when all slices are handed over
     */
    public void leave(CompletableFuture<Void> whenHandedOver) {
        handedOver = whenHandedOver;
        handle(new SchedulerEvent.Leave());
    }

    /** Performs periodic work. */
    public void tick() {
        for (Optional<PeerLink> lost = links.pollPendingLinkLoss();
                lost.isPresent();
                lost = links.pollPendingLinkLoss()) {
            linkDown(lost.get());
        }
        handle(new SchedulerEvent.Tick());
        if (ticker.nowMillis() - lastSnapshotMillis >= SNAPSHOT_INTERVAL_MILLIS) {
            lastSnapshotMillis = ticker.nowMillis();
            updateSnapshot();
        }
        if (handedOver != null) {
            updateHandover();
        }
    }

    void linkUp(PeerLink link) {
        if (links.add(link) && link.peer().getRole() == Role.SCHEDULER) {
            handle(new SchedulerEvent.PeerConnected(SchedulerLinks.id(link)));
        }
    }

    void linkDown(PeerLink link) {
        if (!links.remove(link)) {
            return;
        }
        ProcessId id = SchedulerLinks.id(link);
        if (link.peer().getRole() == Role.SCHEDULER) {
            handle(new SchedulerEvent.PeerDisconnected(id));
        } else if (link.peer().getRole() == Role.ENTRY) {
            spans.lost(id);
            handle(new SchedulerEvent.EntryDisconnected(id));
        }
    }

    void received(PeerLink link, Frame frame) {
        ProcessId id = SchedulerLinks.id(link);
        if (link.peer().getRole() == Role.SCHEDULER) {
            handle(new SchedulerEvent.PeerFrame(id, frame));
        } else if (link.peer().getRole() == Role.ENTRY) {
            spans.received(id, frame);
            handle(new SchedulerEvent.EntryFrame(id, frame));
        }
    }

    void handle(SchedulerEvent event) {
        for (SchedulerAction action : core.handle(event, ticker.nowMillis())) {
            perform(action);
        }
    }

    private void perform(SchedulerAction action) {
        if (action instanceof SchedulerAction.SendToEntry send) {
            log.sent(send.home(), send.frame());
            links.toEntry(send.home(), spans.endOnSend(send.home(), send.frame()));
        } else if (action instanceof SchedulerAction.SendToPeer send) {
            log.sent(send.host(), send.frame());
            links.toScheduler(send.host(), send.frame());
        } else if (action instanceof SchedulerAction.IncrementCounter counted) {
            metrics.increment(counted.counter(), counted.label());
        }
    }

    private void updateHandover() {
        slicesNotHandedOver = core.slicesNotHandedOver(ticker.nowMillis()).stream()
                .map(SchedulerLog::name)
                .toList();
        if (slicesNotHandedOver.isEmpty()) {
            handedOver.complete(null);
        }
    }

    private void applyConfiguration() {
        if (configuration != null && membership != null) {
            handle(new SchedulerEvent.ConfigurationChanged(membership, configuration));
            updateSnapshot();
        }
    }

    private void updateSnapshot() {
        if (membership == null) {
            return;
        }
        long nowMillis = ticker.nowMillis();
        connect(core.requiredPeers(nowMillis));
        poller.updateTargets(targets());
        List<SliceState> snapshot = core.states(nowMillis);
        log.logChanges(states, snapshot);
        states = snapshot;
        metrics.update(snapshot);
    }

    private void connect(Set<String> hosts) {
        Set<PeerAddress> wanted = new HashSet<>();
        for (String name : hosts) {
            membership
                    .host(name)
                    .filter(Host::hasEntry)
                    .ifPresent(host -> wanted.add(new PeerAddress(
                            name,
                            Role.SCHEDULER,
                            host.getAddress(),
                            host.getEntry().getSchedulerPeer())));
        }
        for (PeerAddress address : wanted) {
            if (connectedPeers.add(address)) {
                node.network().connect(address);
            }
        }
        connectedPeers.removeIf(address -> {
            boolean obsolete = !wanted.contains(address);
            if (obsolete) {
                node.network().disconnect(address);
            }
            return obsolete;
        });
    }

    private Map<String, LoadPoller.Target> targets() {
        Map<String, LoadPoller.Target> targets = new HashMap<>();
        for (String name : core.targetsToPoll()) {
            membership
                    .host(name)
                    .filter(Host::hasTarget)
                    .ifPresent(host -> targets.put(
                            name, LoadPoller.Target.of(host, configuration, core.lastCacheEventNumber(name))));
        }
        return targets;
    }
}
