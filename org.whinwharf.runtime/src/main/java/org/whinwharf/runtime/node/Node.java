package org.whinwharf.runtime.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.opentelemetry.api.trace.Tracer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.whinwharf.document.DocumentView;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.membership.Membership;
import org.whinwharf.runtime.RuntimeText;
import org.whinwharf.runtime.admin.AdminServer;
import org.whinwharf.runtime.admin.AdminView;
import org.whinwharf.runtime.command.ProgramVersion;
import org.whinwharf.runtime.duty.Duty;
import org.whinwharf.runtime.duty.DutyHandler;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.runtime.node.internal.ListedPeers;
import org.whinwharf.runtime.node.internal.NodeCore;
import org.whinwharf.runtime.node.internal.NodeEffects;
import org.whinwharf.runtime.node.internal.NodeLinks;
import org.whinwharf.runtime.node.internal.NodeMetrics;
import org.whinwharf.runtime.node.internal.PeerChoice;
import org.whinwharf.runtime.node.internal.ReadinessLog;
import org.whinwharf.runtime.node.internal.Snapshot;
import org.whinwharf.runtime.platform.Pacing;
import org.whinwharf.runtime.platform.PlatformAnswer;
import org.whinwharf.runtime.platform.PlatformClient;
import org.whinwharf.runtime.platform.Watch;
import org.whinwharf.runtime.trace.Tracing;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.message.Hello;
import org.whinwharf.wire.message.Role;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerNetwork;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.NodeSettings;
import org.whinwharf.wire.status.NodeStatus;

/**
 * Part of every daemon that knows the fleet: document, host list, links, metrics, spans and the operators' routes.
 *
 * <p>Its readings are safe for use by several threads.
 */
public final class Node implements Service {
    private static final int RING_SIZE = 1_024;
    private static final long TICK_MILLIS = 100;
    private static final long DOCUMENT_WAIT_MILLIS = 10_000;
    private static final int PROCESSES_PER_HOST = 3;
    private static final String HOLDER = "node";

    private final NodeSettings settings;
    private final Role role;
    private final Ticker ticker;
    private final NodeBuilder parts;
    private final long incarnation = RandomSource.XO_RO_SHI_RO_128_PP.create().nextLong();
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ListedPeers listedPeers = new ListedPeers();
    private final NodeCore core;
    private final Duty<Consumer<NodeCore>> duty;
    private final PeerNetwork network;
    private final AdminServer admin;
    private final Tracing tracing;
    private final PlatformClient configuration;
    private final PlatformClient hostList;
    private final Watch<byte[]> documentWatch;
    private final Watch<HostList> listWatch;
    private volatile Snapshot snapshot;
    private volatile boolean leaving;
    private volatile int processes;
    private final ReadinessLog readiness = new ReadinessLog();

    Node(NodeBuilder parts) {
        this.parts = parts;
        settings = parts.settings;
        role = parts.role;
        ticker = parts.ticker;
        String self = PeerChoice.name(settings.getHost(), role);
        core = new NodeCore(
                settings.getHost(), self, settings.getEnvironment(), settings.getConfigurationUrl(), new Effects());
        snapshot = core.snapshot(ticker.nowMillis());
        duty = Duty.<Consumer<NodeCore>>builder()
                .name("node")
                .handler(new Handler())
                .ringSize(RING_SIZE)
                .tickMillis(TICK_MILLIS)
                .call();
        network = newNetwork();
        tracing = new Tracing(settings.getTraces(), roleName() + "@" + settings.getHost());
        admin = new AdminServer(settings.getAddress(), settings.getAdminPort(), registry, new View(), parts.routes);
        configuration = new PlatformClient(settings.getConfigurationUrl());
        hostList = new PlatformClient(settings.getHostListUrl());
        documentWatch = newDocumentWatch();
        listWatch = newListWatch();
        bindMetrics();
    }

    /**
     * Starts the description of a node.
     *
     * @return a builder
     */
    public static NodeBuilder builder() {
        return new NodeBuilder();
    }

    /**
     * Opens the ports and begins to read the platform.
     *
     * @throws RuntimeException when a port cannot be used
     */
    @Override
    public void start() {
        duty.start();
        tracing.start();
        network.start();
        admin.start();
        listWatch.start();
        documentWatch.start();
        EventLog.event(LogEvent.STARTED)
                .with(EventField.HOST, settings.getHost())
                .with(EventField.ROLE, roleName())
                .with(EventField.VERSION, ProgramVersion.get())
                .with(EventField.INCARNATION, Long.toHexString(incarnation))
                .call();
    }

    @Override
    public void stop() {
        documentWatch.stop();
        listWatch.stop();
        configuration.stop();
        hostList.stop();
        network.stop();
        duty.stop();
        admin.stop();
        tracing.stop();
    }

    /** Says in heartbeats, readiness and status from now on that this process is leaving. */
    public void leave() {
        leaving = true;
    }

    /**
     * Returns the settings.
     *
     * @return settings of this process
     */
    public NodeSettings settings() {
        return settings;
    }

    /**
     * Returns the role.
     *
     * @return role of this process
     */
    public Role role() {
        return role;
    }

    /**
     * Returns the clock.
     *
     * @return monotonic clock of this process
     */
    public Ticker ticker() {
        return ticker;
    }

    /**
     * Returns the number that tells this run of the process from all others.
     *
     * @return number drawn at the start
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the document in force.
     *
     * @return document; empty until the first valid one
     */
    public Optional<DocumentView> document() {
        return snapshot.document();
    }

    /**
     * Returns the hosts under the document in force.
     *
     * @return membership; empty until both document and host list are known
     */
    public Optional<Membership> membership() {
        return snapshot.membership();
    }

    /**
     * Returns when a revision of the host list was last confirmed: what it says is at most that old.
     *
     * <p>Bound to the revision, so that who still works with the list before cannot take the news of the next one for
     * news of its own.
     *
     * @param revision revision of the list that the caller works with
     * @return monotonic clock at the begin of the read; empty when another revision is in force
     */
    public OptionalLong listHeardAtMillis(long revision) {
        Snapshot now = snapshot;
        return now.revision() == revision ? now.listHeardAtMillis() : OptionalLong.empty();
    }

    /**
     * Returns how old the knowledge of the host list may be.
     *
     * @return milliseconds since the last successful read was begun; empty when there was none
     */
    public OptionalLong listAgeMillis() {
        return age(snapshot.listHeardAtMillis());
    }

    /**
     * Returns how old the configuration service's last answer may be.
     *
     * @return milliseconds since the last successful read was begun; empty when there was none
     */
    public OptionalLong documentAgeMillis() {
        return age(snapshot.platformHeardAtMillis());
    }

    /**
     * Returns the links with other processes.
     *
     * @return network of this process
     */
    public PeerNetwork network() {
        return network;
    }

    /**
     * Returns where metrics go.
     *
     * @return registry that the operators' server shows
     */
    public MeterRegistry registry() {
        return registry;
    }

    /**
     * Returns the maker of spans.
     *
     * @return tracer
     */
    public Tracer tracer() {
        return tracing.tracer();
    }

    /**
     * Tells whether a planned stop has begun.
     *
     * @return true once this process leaves
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Tells whether this process may serve.
     *
     * @return true when there is no reason against it
     */
    public boolean isReady() {
        return reasons().isEmpty();
    }

    /**
     * Tells why this process may not serve.
     *
     * @return reasons in words; empty when it may
     */
    public List<String> reasons() {
        List<String> reasons = new ArrayList<>(snapshot.reasons());
        if (leaving) {
            reasons.add(RuntimeText.get("not-ready.leaving"));
        }
        reasons.addAll(parts.readiness.get());
        return reasons;
    }

    /**
     * Returns the status that operators see.
     *
     * @return status of this instant, with what the daemon adds
     */
    public NodeStatus status() {
        Snapshot now = snapshot;
        List<String> reasons = reasons();
        NodeStatus.Builder status = NodeStatus.newBuilder()
                .setHost(settings.getHost())
                .setRole(roleName())
                .setDataCentre(settings.getDataCentre())
                .setListRevision(now.revision())
                .setReady(reasons.isEmpty())
                .addAllReasons(reasons)
                .addAllReasons(now.faults())
                .setLeaving(leaving)
                .setDocumentAgeMillis(documentAgeMillis().orElse(-1))
                .setListAgeMillis(listAgeMillis().orElse(-1));
        now.document()
                .ifPresent(
                        document -> status.setGeneration(document.generation()).setDocumentDigest(document.digest()));
        parts.status.accept(status);
        return status.build();
    }

    /**
     * Returns the port of the operators' server.
     *
     * @return TCP port; call after the start
     */
    public int adminPort() {
        return admin.port();
    }

    private PeerNetwork newNetwork() {
        Hello hello = Hello.newBuilder()
                .setHost(settings.getHost())
                .setRole(role)
                .setIncarnation(incarnation)
                .setDataCentre(settings.getDataCentre())
                .build();
        return PeerNetwork.builder()
                .self(hello)
                .address(settings.getAddress())
                .port(settings.getPeerPort())
                .limits(settings.getPeerLimits())
                .filter(listedPeers)
                .listener(new NodeLinks(parts.peers, duty::offer, ticker))
                .heartbeats(this::heartbeat)
                .call();
    }

    private Watch<byte[]> newDocumentWatch() {
        return Watch.<byte[]>builder()
                .name("document-watch")
                .reader(configuration.documentReader(settings.getEnvironment()))
                .listener(this::documentAnswered)
                .pacing(newPacing(DOCUMENT_WAIT_MILLIS))
                .knownRevision(
                        () -> snapshot.document().map(DocumentView::generation).orElse(0L))
                .fleetSize(() -> processes)
                .ticker(ticker)
                .call();
    }

    private Watch<HostList> newListWatch() {
        return Watch.<HostList>builder()
                .name("list-watch")
                .reader(hostList.hostListReader())
                .listener(this::listAnswered)
                .pacing(newPacing(parts.listWaitMillis))
                .knownRevision(() -> snapshot.revision())
                .fleetSize(() -> processes)
                .ticker(ticker)
                .call();
    }

    private Pacing newPacing(long waitMillis) {
        return new Pacing(waitMillis, parts.startSpreadMillis, RandomSource.XO_RO_SHI_RO_128_PP.create());
    }

    private void bindMetrics() {
        NodeMetrics metrics = new NodeMetrics(registry);
        metrics.bindProcess();
        metrics.bindNetwork(network);
        metrics.bindWatch("document", documentWatch);
        metrics.bindWatch("host-list", listWatch);
        metrics.bindKnowledge(() -> snapshot, ticker::nowMillis);
    }

    private void documentAnswered(PlatformAnswer<byte[]> answer, long askedAtMillis) {
        duty.offer(each -> each.documentAnswered(answer, askedAtMillis));
    }

    private void listAnswered(PlatformAnswer<HostList> answer, long askedAtMillis) {
        if (answer instanceof PlatformAnswer.Changed<HostList> changed
                && changed.value().getRevision() >= snapshot.revision()) {
            listedPeers.update(changed.value());
            network.recheck();
            processes = countProcesses(changed.value());
        }
        duty.offer(each -> each.listAnswered(answer, askedAtMillis, ticker.nowMillis()));
    }

    private static int countProcesses(HostList list) {
        return PROCESSES_PER_HOST
                * (int) list.getHostsList().stream()
                        .filter(host -> host.hasEntry())
                        .count();
    }

    private Heartbeat heartbeat() {
        Snapshot now = snapshot;
        Heartbeat.Builder heartbeat = Heartbeat.newBuilder()
                .setSentAtMillis(ticker.nowMillis())
                .setListRevision(now.revision())
                .setLeaving(leaving);
        now.document()
                .ifPresent(document ->
                        heartbeat.setGeneration(document.generation()).setDocumentDigest(document.digestPrefix()));
        return heartbeat.build();
    }

    private OptionalLong age(OptionalLong heardAtMillis) {
        return heardAtMillis.isEmpty()
                ? heardAtMillis
                : OptionalLong.of(ticker.nowMillis() - heardAtMillis.getAsLong());
    }

    private String roleName() {
        return role.name().toLowerCase(Locale.ROOT);
    }

    private void takeSnapshot() {
        snapshot = core.snapshot(ticker.nowMillis());
        readiness.update(reasons(), snapshot, ticker.nowMillis());
    }

    private final class Handler implements DutyHandler<Consumer<NodeCore>> {
        @Override
        public void handle(Consumer<NodeCore> event) {
            event.accept(core);
            takeSnapshot();
        }

        @Override
        public void tick() {
            takeSnapshot();
        }
    }

    private final class Effects implements NodeEffects {
        @Override
        public void connect(PeerAddress peer) {
            network.connect(peer, HOLDER);
        }

        @Override
        public void disconnect(PeerAddress peer) {
            network.disconnect(peer, HOLDER);
        }

        @Override
        public void documentChanged(DocumentView document) {
            snapshot = core.snapshot(ticker.nowMillis());
            parts.listener.documentChanged(document);
        }

        @Override
        public void membershipChanged(Membership membership) {
            snapshot = core.snapshot(ticker.nowMillis());
            parts.listener.membershipChanged(membership);
        }
    }

    private final class View implements AdminView {
        @Override
        public List<String> reasons() {
            return Node.this.reasons();
        }

        @Override
        public NodeStatus status() {
            return Node.this.status();
        }
    }
}
