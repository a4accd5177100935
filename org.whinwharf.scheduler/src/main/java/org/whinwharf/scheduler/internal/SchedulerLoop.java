package org.whinwharf.scheduler.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.Action;
import org.whinwharf.owner.Event;
import org.whinwharf.owner.HomeId;
import org.whinwharf.owner.Rules;
import org.whinwharf.owner.SchedulerCore;
import org.whinwharf.owner.placement.Placement;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.status.SliceState;

/** Duty that decides: feeds the decisions with what happens and does what they say. Confined to its thread. */
public final class SchedulerLoop {
    private static final long SURVEY_MILLIS = 500;

    private final Node node;
    private final Ticker ticker;
    private final SchedulerLinks links;
    private final LoadPoller poller;
    private final SchedulerMetrics metrics;
    private final SchedulerSpans spans;
    private final SchedulerLog log = new SchedulerLog();
    private final SchedulerCore core;
    private final Set<PeerAddress> connected = new HashSet<>();
    private Rules rules;
    private Membership membership;
    private CompletableFuture<Void> handedOver;
    private long surveyedAtMillis;
    private volatile List<SliceState> states = List.of();

    /**
     * Creates the loop.
     *
     * @param node what the process knows of the fleet
     * @param links links with other processes
     * @param poller reader of targets
     * @param metrics metrics
     * @param placement how targets are chosen
     */
    public SchedulerLoop(
            Node node, SchedulerLinks links, LoadPoller poller, SchedulerMetrics metrics, Placement placement) {
        this.node = node;
        this.ticker = node.ticker();
        this.links = links;
        this.poller = poller;
        this.metrics = metrics;
        this.spans = new SchedulerSpans(node);
        HomeId self = new HomeId(node.settings().getHost(), node.incarnation());
        this.core = new SchedulerCore(self, placement, ticker.nowMillis());
    }

    /**
     * Returns the slices as they stood a moment ago; safe for use by several threads.
     *
     * @return states
     */
    public List<SliceState> states() {
        return states;
    }

    /**
     * Takes in another document.
     *
     * @param newRules what it says
     */
    public void ruled(Rules newRules) {
        rules = newRules;
        view();
    }

    /**
     * Takes in another view of the host list.
     *
     * @param newMembership the view
     */
    public void listed(Membership newMembership) {
        membership = newMembership;
        view();
    }

    /**
     * Begins a planned stop.
     *
     * @param whenHandedOver completed when nothing of any slice is left here
     */
    public void leave(CompletableFuture<Void> whenHandedOver) {
        handedOver = whenHandedOver;
        run(new Event.Leave());
    }

    /** Lets time pass. */
    public void tick() {
        for (Optional<PeerLink> lost = links.nextUnheardLoss(); lost.isPresent(); lost = links.nextUnheardLoss()) {
            linkDown(lost.get());
        }
        run(new Event.Tick());
        if (ticker.nowMillis() - surveyedAtMillis >= SURVEY_MILLIS) {
            surveyedAtMillis = ticker.nowMillis();
            survey();
        }
        if (handedOver != null && core.hasHandedOver(ticker.nowMillis())) {
            handedOver.complete(null);
        }
    }

    void linkUp(PeerLink link) {
        if (links.add(link) && link.peer().getRole() == Role.SCHEDULER) {
            run(new Event.PeerUp(SchedulerLinks.id(link)));
        }
    }

    void linkDown(PeerLink link) {
        if (!links.remove(link)) {
            return;
        }
        HomeId id = SchedulerLinks.id(link);
        if (link.peer().getRole() == Role.SCHEDULER) {
            run(new Event.PeerLost(id));
        } else if (link.peer().getRole() == Role.ENTRY) {
            spans.lost(id);
            run(new Event.EntryLost(id));
        }
    }

    void received(PeerLink link, Frame frame) {
        HomeId id = SchedulerLinks.id(link);
        if (link.peer().getRole() == Role.SCHEDULER) {
            run(new Event.FromPeer(id, frame));
        } else if (link.peer().getRole() == Role.ENTRY) {
            spans.received(id, frame);
            run(new Event.FromEntry(id, frame));
        }
    }

    void run(Event event) {
        for (Action action : core.handle(event, ticker.nowMillis())) {
            act(action);
        }
    }

    private void act(Action action) {
        if (action instanceof Action.ToEntry send) {
            log.sent(send.home(), send.frame());
            links.toEntry(send.home(), spans.sending(send.home(), send.frame()));
        } else if (action instanceof Action.ToPeer send) {
            log.sent(send.host(), send.frame());
            links.toScheduler(send.host(), send.frame());
        } else if (action instanceof Action.Counted counted) {
            metrics.count(counted.measure(), counted.label());
        }
    }

    private void view() {
        if (rules != null && membership != null) {
            run(new Event.Viewed(membership, rules));
            survey();
        }
    }

    private void survey() {
        if (membership == null) {
            return;
        }
        long nowMillis = ticker.nowMillis();
        connect(core.peersNeeded(nowMillis));
        poller.read(targets());
        List<SliceState> now = core.states(nowMillis);
        log.changed(states, now);
        states = now;
        metrics.update(now);
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
            if (connected.add(address)) {
                node.network().connect(address);
            }
        }
        connected.removeIf(address -> {
            boolean gone = !wanted.contains(address);
            if (gone) {
                node.network().disconnect(address);
            }
            return gone;
        });
    }

    private Map<String, LoadPoller.Target> targets() {
        Map<String, LoadPoller.Target> targets = new HashMap<>();
        for (String name : core.targetsToRead()) {
            membership
                    .host(name)
                    .filter(Host::hasTarget)
                    .ifPresent(host -> targets.put(name, LoadPoller.Target.of(host, rules, core.lastCacheEvent(name))));
        }
        return targets;
    }
}
