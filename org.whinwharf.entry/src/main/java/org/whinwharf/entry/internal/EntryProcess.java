package org.whinwharf.entry.internal;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.whinwharf.document.DocumentView;
import org.whinwharf.home.Home;
import org.whinwharf.home.HomeEvent;
import org.whinwharf.home.HomeSettings;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.membership.Membership;
import org.whinwharf.routing.RoutingPolicy;
import org.whinwharf.runtime.command.WorkInFlight;
import org.whinwharf.runtime.node.Node;
import org.whinwharf.runtime.node.NodeListener;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.peer.PeerListener;
import org.whinwharf.wire.schema.EntrySettings;
import org.whinwharf.wire.status.NodeStatus;

/** Wires the parts of the entry daemon together. */
public final class EntryProcess implements Service {
    private static final long DRAIN_POLL_MILLIS = 50;
    /** Longest time for which callers are left to take their last answers once the process ends. */
    private static final long FLUSH_MILLIS = 1_000;

    private static final long FLUSH_POLL_MILLIS = 5;

    private final EntrySettings settings;
    private final Ticker ticker = Ticker.system();
    private final HomeDuty home = new HomeDuty(ticker);
    private final Sessions sessions = new Sessions();
    private final Exchanges exchanges = new Exchanges();
    private final SchedulerLinks schedulers = new SchedulerLinks();
    private final Explanations explanations = new Explanations();
    private final Targets targets = new Targets(ticker, home);
    private final Node node;
    private final RelayClient relays;
    private final EntryPeers peers;
    private final CallerServer callers;

    /**
     * Makes the process. Opens no port.
     *
     * @param settings checked settings
     */
    public EntryProcess(EntrySettings settings) {
        this.settings = settings;
        node = Node.builder()
                .settings(settings.getNode())
                .role(Role.ENTRY)
                .ticker(ticker)
                .listener(new Changes())
                .peers(new LatePeers())
                .status(this::addStatus)
                .route(explanations)
                .call();
        relays = new RelayClient(node);
        peers = new EntryPeers(home, schedulers, new RelayServer(node, home, sessions), relays);
        EntryParts parts = newParts();
        Home decisions = new Home(
                homeSettings(), new NoView(), RoutingPolicy.AFFINITY, RandomSource.XO_RO_SHI_RO_128_PP.create());
        home.attach(decisions, new ActionRunner(parts, decisions));
        callers = new CallerServer(settings, new CallerRequests(settings, parts), exchanges);
    }

    @Override
    public void start() {
        home.start();
        targets.start();
        relays.start();
        node.start();
        callers.start();
    }

    /**
     * Begins a planned stop.
     *
     * @return completes when no request is left and every caller has its answer
     */
    public CompletableFuture<Void> leave() {
        node.leave();
        home.put(new HomeEvent.StopRequested());
        return CompletableFuture.runAsync(this::awaitDrained);
    }

    /**
     * Counts the work in flight as of the home's latest tick. Never waits.
     *
     * @return the work
     */
    public WorkInFlight workInFlight() {
        return new WorkInFlight(home.liveCount(), home.waitingCount(), exchanges.count(), List.of());
    }

    /** Stops the process. Callers whose requests have not ended are told so, for at most {@link #FLUSH_MILLIS}. */
    @Override
    public void stop() {
        cutOff();
        callers.stop();
        node.stop();
        relays.stop();
        targets.stop();
        home.stop();
    }

    private EntryParts newParts() {
        return new EntryParts(
                node,
                home,
                sessions,
                schedulers,
                targets,
                new AnswerCache(settings.getMaxAnswerBytes()),
                explanations,
                new RequestSpans(node.tracer()),
                new EntryMetrics(node.registry(), home, sessions, targets),
                new AddressBook(node),
                relays);
    }

    private HomeSettings homeSettings() {
        return HomeSettings.builder()
                .host(settings.getNode().getHost())
                .dataCentre(settings.getNode().getDataCentre())
                .incarnation(node.incarnation())
                .maxRequests(settings.getMaxRequests())
                .call();
    }

    private void addStatus(NodeStatus.Builder status) {
        status.setRequestsWaiting(home.waitingCount());
        status.setRequestsRunning(home.liveCount() - home.waitingCount());
    }

    private void awaitDrained() {
        // Callers hold this host's address for a while yet. As long as they may, they are told at once to go elsewhere;
        // a refused connection would leave them without knowing whether their request ran.
        long goodMillis = node.document()
                .map(document -> document.timing().getAddressesGoodMillis())
                .orElse(0L);
        long addressEndsMillis = ticker.nowMillis() + goodMillis;
        try {
            while (ticker.nowMillis() < addressEndsMillis || isBusy()) {
                TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void cutOff() {
        if (!isBusy()) {
            return;
        }
        home.put(new HomeEvent.StopDue());
        relays.cutOff();
        long endMillis = ticker.nowMillis() + FLUSH_MILLIS;
        try {
            while (ticker.nowMillis() < endMillis && isBusy()) {
                TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isBusy() {
        return home.liveCount() > 0 || sessions.count() > 0 || exchanges.count() > 0;
    }

    private final class Changes implements NodeListener {
        private DocumentView document;

        @Override
        public void documentChanged(DocumentView next) {
            document = next;
        }

        @Override
        public void membershipChanged(Membership membership) {
            String dataCentre = settings.getNode().getDataCentre();
            home.put(new HomeEvent.ViewChanged(new EntryView(document, membership, dataCentre)));
            schedulers.follow(membership, node.network());
        }
    }

    /** Passes on to the peers, which can only be made after the node. */
    private final class LatePeers implements PeerListener {
        @Override
        public void linkUp(PeerLink link) {
            peers.linkUp(link);
        }

        @Override
        public void received(PeerLink link, Frame frame) {
            peers.received(link, frame);
        }

        @Override
        public void linkDown(PeerLink link, String reason) {
            peers.linkDown(link, reason);
        }
    }
}
