package org.whinwharf.front;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.catalog.CallerLimits;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.TargetService;
import org.whinwharf.traffic.coordination.Coordinator;
import org.whinwharf.traffic.coordination.DecisionListener;
import org.whinwharf.traffic.coordination.ImmutableCoordinatorDependencies;
import org.whinwharf.traffic.items.ItemMirror;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.traffic.path.RelayPeers;
import org.whinwharf.traffic.placement.Candidate;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.TargetSelector;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.traffic.retry.RetryAllowance;
import org.whinwharf.traffic.retry.RetryBudget;
import org.whinwharf.traffic.share.OrganisationWeights;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.stream.TargetHistory;
import org.whinwharf.traffic.target.ProcessKnowledge;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.traffic.target.TargetProcesses;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

/** One front process: creates its components, connects them, and owns the event loop on which all of them run. */
public final class Front implements Service {
    /** Retry-After delay while no catalog is known; the process asks its peers for one several times in this time. */
    static final long NOT_READY_RETRY_AFTER_MILLIS = 200;
    /** Largest response, in bytes, that is collected in full before it is forwarded. */
    static final int MAX_ANSWER_BYTES = 4 * 1_024 * 1_024;
    /** Interval between gossip rounds; a request holds a slot for several times as long. */
    private static final long GOSSIP_INTERVAL_MILLIS = 150;
    /** Interval between checks while requests are queued: an eighth of the shortest objective of a plain service. */
    private static final long TICK_INTERVAL_MILLIS = 20;
    /** Interval between checks while no request is queued; the timeouts of running requests are 500 ms and more. */
    private static final long IDLE_TICK_INTERVAL_MILLIS = 60;
    /** Delay of a check from which the event loop counts as late. */
    private static final long LATE_TICK_MILLIS = 50;
    /** Interval between checks of idle connections, of ejected targets due for a probe and of silent peers. */
    private static final long SWEEP_INTERVAL_MILLIS = 250;
    /**
     * Relative jitter added to predictions when this process places requests locally in a large fleet: more than the
     * difference between engines of one hardware generation, less than the difference between generations.
     */
    private static final double PREDICTION_JITTER = 0.5;
    /**
     * Time after the start for which callers are left in the port's backlog until the catalog is known. A caller gives
     * up an attempt that is not read within a second; a caller that receives a Retry-After delay keeps the rest of its
     * time.
     */
    private static final long CATALOG_WAIT_LIMIT_MILLIS = 600;
    /** Delay after the start until metrics are served, so that requests are served first. */
    private static final long METRICS_START_DELAY_MILLIS = 2_000;

    private volatile FrontSettings settings;
    private final HttpDialect dialect;
    private final Ticker ticker = Ticker.system();
    private final Random random = new Random();
    private final PlannedStop plannedStop = new PlannedStop(ticker);
    private final FrontMetrics metrics = new FrontMetrics();
    private final TaskGuard tasks = new TaskGuard(metrics, ticker);
    private final EventLoopGroup loop = new GuardedEventLoopGroup(tasks);
    private final MemberTable members;
    private final TickTimer ticks = new TickTimer(loop, tasks, ticker, this::tick, TICK_INTERVAL_MILLIS);
    private final TargetRegistry targets;
    private final RelayPeers relayPeers;
    private final RelayServer relays;
    private final FailureReview failureReview;
    private final PathMonitor pathMonitor;
    private final PromptCacheIndex prompts = new PromptCacheIndex();
    private final ColdAllowances coldAllowances;
    private final TargetSelector placement;
    private final QuotaLedger quotas;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final RetryAllowance retryAllowance;
    private final LocalQueues localQueues;
    private final OrganisationWeights organisationWeights = new OrganisationWeights();
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final Set<CallerExchange> exchanges = new LinkedHashSet<>();
    private final CallerAcceptor callers;
    private final FleetStateExchange fleetState;
    private final PeerDatagrams datagrams;
    private final Gossip gossip;
    private final CrashTracker crashes;

    private final StatedLimits statedLimits;
    private final ItemConfirmation itemConfirmation;
    private final VersionObserver versions;
    private final RunInquiry runInquiry;
    private final ProcessInquiry processInquiry;
    private final StreamTracker streams;
    private final StreamEndTracker streamEnds;
    private final Coordination coordination;
    private final AdmissionControl admission = new AdmissionControl(this);
    private final LostRunRecorder lostRuns = new LostRunRecorder(this);
    private final PeerItems peerItems;
    private final ItemFeed feed;
    private Optional<Catalog> catalog = Optional.empty();
    private MemberPhase phase = MemberPhase.MEMBER_STARTING;
    private boolean acceptStarted;
    private boolean acceptingCallers;
    private long startedAtMillis;
    private Runnable onStopped = () -> {};

    /**
     * Creates a front that is not started yet.
     *
     * @param settings settings of the process
     * @param dialect header names and formats that callers and targets use
     * @param callerPort open port to which callers connect
     */
    public Front(FrontSettings settings, HttpDialect dialect, CallerPort callerPort) {
        this.settings = settings;
        this.dialect = dialect;
        members = new MemberTable(MemberReport.newBuilder()
                .setName(settings.name())
                .setIncarnation(System.currentTimeMillis())
                .build());
        quotas = new QuotaLedger(settings.freshFleet());
        targets = new TargetRegistry(
                loop,
                dialect,
                ticker,
                () -> catalog,
                metrics,
                settings.targetHeartbeatMillis(),
                settings.policy().isEnabled(Mechanism.LEARNED_LIMITS),
                this::reachChanged);
        datagrams = new PeerDatagrams(settings, tasks);
        statedLimits = new StatedLimits(settings, members, targets, datagrams, ticker, random);
        StatedRateTracker rates = statedLimits.rates();
        relayPeers = new RelayPeers(settings.name(), members::servingMembers, random);
        OwnReach ownReach = new OwnReach(loop, targets);
        targets.connectThrough(
                new TargetConnector(loop, dialect, ticker, settings.name(), targets, relayPeers, ownReach));
        relays = new RelayServer(loop, ticker, targets, ownReach);
        failureReview = new FailureReview(targets);
        pathMonitor = new PathMonitor(targets, ownReach, ticker, this::awaitedTarget);
        retryAllowance = new RetryAllowance(settings.expectsPeers());
        localQueues = new LocalQueues(loop, ticker, random::nextDouble, settings.policy(), organisationWeights);
        coldAllowances = new ColdAllowances(
                settings.name(), members, ticker, this::isCoordinated, this::coordinatorRank, this::coldRate);
        placement = new TargetSelector(
                prompts,
                coldAllowances::ofProcess,
                () -> members.largeFleet() ? random.nextDouble() * PREDICTION_JITTER : 0,
                settings.policy(),
                rates.ofProcess());
        ItemMirror mirror = new ItemMirror();
        peerItems = new PeerItems(loop, mirror, metrics);
        feed = new ItemFeed(settings, members, mirror, peerItems, ticker, random);
        itemConfirmation = new ItemConfirmation(loop, ticker, () -> 1 + knownPeers());
        versions = new VersionObserver(loop, settings.freshFleet(), targets, feed, ticker);
        streamEnds = new StreamEndTracker(settings, members, targets, datagrams, this::inCatalog, ticker, random);
        fleetState = new FleetStateExchange(settings, members, targets, quotas, feed, rates, streamEnds, ticker);
        crashes = new CrashTracker(settings, members, targets, datagrams, loop, ticker, random);
        targets.onCrash(crashes::targetCrashed);
        runInquiry = new RunInquiry(loop, dialect, targets, ticker);
        processInquiry = new ProcessInquiry(loop, dialect, targets, ticker, metrics);
        targets.inquireBy(processInquiry);
        streams = new StreamTracker(
                settings, members, datagrams, loop, ticker, targets.processes(), versions::onlyVersions);
        coordination = new Coordination(
                settings, members, targets, rates, datagrams, ticker, this::createCoordinator, this::isCoordinated);
        gossip = createGossip();
        callers = new CallerAcceptor(this, loop, callerPort);
    }

    private Gossip createGossip() {
        return new Gossip(
                settings,
                members,
                ticker,
                random,
                datagrams,
                fleetState::applyReport,
                coordination::coordinatorIps,
                crashes,
                statedLimits,
                streamEnds);
    }

    /**
     * Returns the event loop whose single thread runs all components of this process.
     *
     * @return event loop
     */
    public EventLoopGroup loop() {
        return loop;
    }

    /**
     * Returns the feed of published items.
     *
     * @return feed
     */
    public ItemFeed feed() {
        return feed;
    }

    /**
     * Returns the interval at which targets write their entries.
     *
     * @return time in milliseconds; 0 if unknown
     */
    public long targetHeartbeatMillis() {
        return settings.targetHeartbeatMillis();
    }

    /**
     * Returns what confirms that the published items are current.
     *
     * @return confirmation, which needs a reader of the publishing service
     */
    public ItemConfirmation itemConfirmation() {
        return itemConfirmation;
    }

    /**
     * Returns the monotonic clock.
     *
     * @return clock
     */
    public Ticker ticker() {
        return ticker;
    }

    @Override
    public void start() {
        startedAtMillis = ticker.nowMillis();
        members.expect(
                settings.seedIps().stream()
                        .filter(ip -> !ip.equals(settings.ip()))
                        .toList(),
                startedAtMillis);
        peerItems.start(settings.ip(), settings.peerPort(), feed);
        if (settings.relayPort() > 0) {
            relays.start(settings.ip(), settings.relayPort());
        }
        try {
            datagrams.start(loop);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // What peers know of targets is needed for the first request.
        loop.execute(() -> tasks.run("gossip", this::gossipRound));
        scheduleRepeatedly("gossip", GOSSIP_INTERVAL_MILLIS, this::gossipRound);
        ticks.start();
        scheduleRepeatedly("upkeep", SWEEP_INTERVAL_MILLIS, this::sweep);
        loop.schedule(this::startMetrics, METRICS_START_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        EventLog.event(LogEvent.STARTED)
                .with(EventField.HOST, settings.name())
                .with(EventField.ROLE, "front")
                .with(EventField.INCARNATION, members.localReport().getIncarnation())
                .call();
    }

    private void startMetrics() {
        if (settings.metricsPort() == 0) {
            return;
        }
        metrics.gauge("whinwharf.waiting.requests", "Requests that wait here", localQueues::size);
        metrics.gauge("whinwharf.running.requests", "Requests under way here", exchanges::size);
        metrics.gauge(
                "whinwharf.coordinated.waiting", "Requests of all fronts that wait here", coordination::queuedRequests);
        metrics.gauge(
                "whinwharf.shares.limited",
                "Organisations that wait here because they have used their share",
                coordination::limitedOrganisations);
        metrics.gauge(
                "whinwharf.shares.largest",
                "Largest use of an organisation in the last second relative to its share",
                coordination::largestUseRatio);
        metrics.gauge("whinwharf.connections", "Connections of callers", connections::size);
        metrics.gauge(
                "whinwharf.task.failures.unreported",
                "Runs of tasks that threw something which could not be logged",
                tasks::unreportedFailures);
        metrics.gauge(
                "whinwharf.peers",
                "Other fronts heard from",
                () -> members.alive(ticker.nowMillis()).size());
        metrics.gauge(
                "whinwharf.catalog.version",
                "Version in force",
                () -> catalog.map(Catalog::version).orElse(0L));
        registerItemGauges();
        registerTargetGauges();
        metrics.gauge(
                "whinwharf.paths.lost",
                "Targets that peers reach and this process does not",
                () -> targets.paths().lostPaths());
        metrics.gauge(
                "whinwharf.partitioned",
                "1 while no target can be reached",
                () -> targets.paths().partitioned() ? 1 : 0);
        metrics.gauge("whinwharf.relays", "Connections relayed for peers", relays::connectionCount);
        metrics.gauge(
                "whinwharf.lost.runs",
                "Runs remembered because their targets may have crashed under them",
                crashes.ledger()::size);
        registerStreamGauges();
        new HttpEndpoint(loop, (method, uri) -> new HttpEndpoint.Response(200, "text/plain", metrics.scrape()))
                .bind(settings.ip(), settings.metricsPort())
                .addListener(bound -> {
                    if (!bound.isSuccess()) {
                        FrontLog.taskFailed("metrics", bound.cause());
                    }
                });
    }

    private void registerTargetGauges() {
        metrics.gauge(
                "whinwharf.targets.known",
                "Published targets",
                () -> targets.reach("").knownTargets());
        metrics.gauge(
                "whinwharf.targets.reached",
                "Targets reached over own connections within the last seconds",
                () -> targets.reach("").reachedTargets());
        metrics.gauge("whinwharf.targets.rate.limited", "Targets that state a rate", statedRates()::limitedTargets);
        metrics.gauge("whinwharf.targets.ejected", "Targets out of use after failures", targets::ejected);
    }

    private void registerItemGauges() {
        metrics.gauge("whinwharf.items.revision", "Revision of the published items", feed::revision);
        metrics.gauge(
                "whinwharf.items.ahead",
                "Revisions by which the items are ahead of the publishing service",
                feed::revisionsAhead);
        metrics.gauge(
                "whinwharf.items.refused", "Published items that were not used since the start", feed::refusedItems);
        metrics.gauge("whinwharf.watching", "1 while the own watch works", () -> feed.watchHealthy() ? 1 : 0);
    }

    private void registerStreamGauges() {
        metrics.gauge(
                "whinwharf.targets.observed.seconds",
                "Time for which every target that was published is known, at most that of a stream",
                () -> TimeUnit.MILLISECONDS.toSeconds(
                        Math.min(StreamOrigins.RETENTION_MILLIS, versions.observedMillis())));
        metrics.gauge("whinwharf.streams.remembered", "Streams whose software version is remembered", streams::size);
    }

    private void scheduleRepeatedly(String name, long millis, Runnable task) {
        loop.scheduleWithFixedDelay(() -> tasks.run(name, task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Begins a planned stop: reports this process as leaving and stops it once no request is in flight. */
    @Override
    public void stop() {
        loop.execute(() -> {
            if (plannedStop.begun()) {
                return;
            }
            phase = MemberPhase.MEMBER_LEAVING;
            plannedStop.begin(settings.stopGraceMillis(), work());
            relays.leave();
            phaseChanged();
        });
    }

    /**
     * Returns the time that a planned stop which begins now may take. May be called on any thread.
     *
     * @return time in milliseconds
     */
    public long stopGraceMillis() {
        return settings.stopGraceMillis();
    }

    /**
     * Sets the action to run when a planned stop is complete.
     *
     * @param action action, run on the event loop
     */
    public void onStopped(Runnable action) {
        onStopped = action;
    }

    /**
     * Applies changed settings, except for addresses and names, which are read only at the start.
     *
     * @param changed new settings
     */
    public void reload(FrontSettings changed) {
        settings = changed;
        retryBudgets.values().forEach(budget -> budget.updateLimits(changed.retryRatio(), changed.retryWindowMillis()));
        EventLog.event(LogEvent.SETTINGS_IN_FORCE).call();
    }

    /**
     * Tells whether callers should be sent to this process.
     *
     * @return true when it is serving
     */
    public boolean ready() {
        return phase == MemberPhase.MEMBER_SERVING;
    }

    /**
     * Returns addresses that callers may connect to.
     *
     * @param limit maximum number of addresses; in a larger fleet they are chosen at random
     * @return IP addresses and ports
     */
    public List<String> callerAddresses(int limit) {
        long nowMillis = ticker.nowMillis();
        List<MemberReport> sample = policy().isEnabled(Mechanism.HOSTS_BY_CAPACITY)
                ? members.sampleByCapacity(nowMillis, limit, coordination.coordinators(targets.services()), random)
                : members.sampleServing(nowMillis, limit, random);
        return sample.stream().map(MemberReport::getCallerAddress).toList();
    }

    /**
     * Applies a published catalog, unless its version is not newer than the current one.
     *
     * @param published catalog
     */
    public void publish(Catalog published) {
        if (catalog.isPresent() && published.version() <= catalog.get().version()) {
            return;
        }
        catalog = Optional.of(published);
        loop.execute(this::acceptOnceReady);
        versions.catalogInForce(published);
        quotas.update(published, ticker.nowMillis());
        organisationWeights.update(published);
        EventLog.event(LogEvent.CATALOG_IN_FORCE)
                .with(EventField.VERSION, published.version())
                .with(EventField.REVISION, feed.revision())
                .call();
    }

    /**
     * Adds or updates a published target.
     *
     * @param target published target
     * @param afterInitialCopy false while the first copy of the published items is read
     */
    public void publish(Target target, boolean afterInitialCopy) {
        targets.publish(target, afterInitialCopy, feed.changesWrittenSinceMillis());
    }

    /**
     * Removes a target whose published entry was deleted.
     *
     * @param targetId id of the target
     * @param goneAtMillis monotonic time in milliseconds from which the target counts as gone
     */
    public void removeTarget(String targetId, long goneAtMillis) {
        targets.remove(targetId, goneAtMillis);
    }

    /**
     * Sets the evacuated data centres, whose targets receive no new requests.
     *
     * @param dataCentres names of all evacuated data centres
     */
    public void evacuate(Set<String> dataCentres) {
        EventLog.event(LogEvent.DATA_CENTRES_OUT)
                .with(EventField.REASONS, dataCentres)
                .with(EventField.REVISION, feed.revision())
                .call();
        targets.evacuate(dataCentres);
    }

    /** Accepts callers once the catalog is known, or after a time limit to answer them with a Retry-After delay. */
    private void acceptOnceReady() {
        boolean waitedTooLong = ticker.nowMillis() - startedAtMillis > CATALOG_WAIT_LIMIT_MILLIS;
        if (!acceptStarted && phase == MemberPhase.MEMBER_STARTING && (catalog.isPresent() || waitedTooLong)) {
            acceptStarted = true;
            callers.start(() -> {
                acceptingCallers = true;
                becomeReady();
            });
        }
        becomeReady();
    }

    private void becomeReady() {
        if (phase == MemberPhase.MEMBER_STARTING && acceptingCallers && catalog.isPresent()) {
            phase = MemberPhase.MEMBER_SERVING;
            if (hasUnobservedPast()) {
                targets.services().stream().filter(this::isEngine).forEach(runInquiry::askAhead);
            }
            phaseChanged();
            EventLog.event(LogEvent.READY)
                    .with(EventField.REVISION, feed.revision())
                    .call();
        }
    }

    private void gossipRound() {
        fleetState.updateLocalReport(phase, gossip.nextRoundSends());
        gossip.runRound();
    }

    /** Reports at once whether this process reaches targets, since peers may be about to ask it for a relay. */
    private void reachChanged() {
        phaseChanged();
    }

    private Optional<TargetEntry> awaitedTarget() {
        return exchanges.stream()
                .map(CallerExchange::directlyAwaitedTarget)
                .flatMap(Optional::stream)
                .findAny();
    }

    private void phaseChanged() {
        fleetState.updateLocalReport(phase, true);
        gossip.runRoundNow();
    }

    private long tick(long lateMillis) {
        long nowMillis = ticker.nowMillis();
        targets.timersRun(nowMillis, lateMillis > LATE_TICK_MILLIS);
        tasks.run("loads", () -> fleetState.updateRemoteLoads(nowMillis));
        tasks.run("coordination", coordination::tick);
        tasks.run("paths", () -> pathMonitor.checkSilence(nowMillis));
        List.copyOf(exchanges).forEach(exchange -> tasks.run("requests", () -> exchange.checkTimeouts(nowMillis)));
        tasks.run("queues", () -> localQueues.advance(nowMillis));
        if (plannedStop.begun()) {
            tasks.run("drain", () -> drain(nowMillis));
        }
        boolean queued = coordination.hasPendingRequests() || localQueues.size() > 0;
        return queued ? TICK_INTERVAL_MILLIS : IDLE_TICK_INTERVAL_MILLIS;
    }

    private void sweep() {
        long nowMillis = ticker.nowMillis();
        ticks.resumeIfLost();
        tasks.run("accept", this::acceptOnceReady);
        tasks.run("items", feed::tick);
        tasks.run("targets", targets::sweep);
        tasks.run("crashes", crashes::sweep);
        tasks.run("streams", streams::sweep);
        tasks.run("open streams", () -> processInquiry.askAgain(streams.openTargetIds(), streams::confirmOpen));
        tasks.run("stream ends", streamEnds::sweep);
        tasks.run("rates", () -> statedRates().sweep(targets.ids()));
        tasks.run("paths", pathMonitor::recheckLostPaths);
        List.copyOf(connections)
                .forEach(connection -> tasks.run("connections", () -> connection.checkTimeouts(nowMillis)));
        members.expire(nowMillis)
                .forEach(name -> EventLog.event(LogEvent.MEMBER_FORGOTTEN)
                        .with(EventField.PEER, name)
                        .call());
        retryAllowance.updatePeers(knownPeers(), nowMillis);
        quotas.updateProcessCount(1 + members.alive(nowMillis).size());
        quotas.updateReachableShare(members.reachableShare(nowMillis), nowMillis);
    }

    private void drain(long nowMillis) {
        if (!plannedStop.expectsCallers()) {
            callers.stop();
            List.copyOf(connections).forEach(connection -> tasks.run("connections", () -> connection.drain(nowMillis)));
        }
        PlannedStop.Work work = work();
        if (!plannedStop.ended() && plannedStop.ends(work)) {
            plannedStop.end(work);
            relays.logOpen();
            // Queued ones first, so that slots which the others free do not go to them.
            exchanges.stream()
                    .sorted(Comparator.comparing(CallerExchange::mayHaveExecuted))
                    .toList()
                    .forEach(exchange -> tasks.run("cut off", () -> exchange.cutOff(nowMillis)));
        }
        if (plannedStop.ended() && plannedStop.mayExit(work())) {
            onStopped.run();
        }
    }

    private PlannedStop.Work work() {
        int incomplete = (int)
                connections.stream().filter(CallerConnection::receivingRequest).count();
        long unreadBytes =
                connections.stream().mapToLong(CallerConnection::unreadBytes).sum();
        return new PlannedStop.Work(
                exchanges.size(), incomplete, connections.size(), relays.connectionCount(), unreadBytes);
    }

    private Coordinator createCoordinator(DecisionListener decisions) {
        TargetSelector selector = new TargetSelector(
                prompts,
                coldAllowances::ofCoordinator,
                () -> 0,
                settings.policy(),
                statedRates().table().ofCoordinator());
        return new Coordinator(ImmutableCoordinatorDependencies.builder()
                .localName(settings.name())
                .targetSelector(selector)
                .promptCache(prompts)
                .targets(targets::ofService)
                .evacuatedDataCentres(targets::evacuated)
                .quotas(quotas)
                .crashes(crashes.ledger())
                .statedRates(statedRates().table())
                .lostRunListener(crashes::record)
                .decisionListener(decisions)
                .targetOutcomeListener(targets)
                .loadListener(targets::updateLoad)
                .workListener(this::workChanged)
                .organisationWeights(organisationWeights)
                .shareListener(FrontLog::organisationLimited)
                .limitListener(FrontLog::targetLimitChanged)
                .random(random::nextDouble)
                .policy(settings.policy())
                .build());
    }

    private void workChanged(String service, int tierRank, double previousMillis, double holdMillis) {
        metrics.recordHoldTime(service, tierRank, holdMillis, System.currentTimeMillis());
        FrontLog.workChanged(service, tierRank, previousMillis, holdMillis);
    }

    /**
     * Tells whether one process places the requests of a service for the whole fleet: requests to engines, which are
     * ordered and balanced that way, and to targets that must not be filled by several processes at once, or that state
     * how many requests they take from all processes together.
     */
    private boolean isCoordinated(String service) {
        return isEngine(service) || statedLimits.needCoordinator(service);
    }

    private boolean inCatalog(String service) {
        return catalog.flatMap(known -> known.service(service)).isPresent();
    }

    /** Tells what is known of the process at the other end of a connection to a target. */
    ProcessKnowledge knowledgeOf(TargetEntry entry, TargetConnection connection) {
        return knowledgeOf(entry.state().target(), connection.establishedAtMillis());
    }

    private ProcessKnowledge knowledgeOf(Target target, long establishedAtMillis) {
        return targets.processes()
                .knowledge(
                        target.id(),
                        target.service(),
                        target.startedUnixMillis(),
                        establishedAtMillis,
                        ticker.nowMillis());
    }

    /** Returns what is known of the processes of targets. */
    TargetProcesses processes() {
        return targets.processes();
    }

    /** Tells what is known of the process to which a request was sent. */
    ProcessKnowledge knowledgeOf(TargetRun run) {
        Target target = run.target();
        return knowledgeOf(target, run.connectedAtMillis());
    }

    boolean isEngine(String service) {
        return catalog.flatMap(known -> known.service(service))
                .map(TargetService::engine)
                .orElse(false);
    }

    private int coordinatorRank(String service) {
        return coordination.localRank(service);
    }

    private double coldRate(Target target) {
        return catalog.flatMap(known -> known.service(target.service()))
                .map(TargetService::coldRequestsPerSecond)
                .orElse(0.0);
    }

    long nowMillis() {
        return ticker.nowMillis();
    }

    HttpDialect dialect() {
        return dialect;
    }

    Optional<Catalog> catalog() {
        return catalog;
    }

    CatalogFreshness catalogFreshness() {
        return new CatalogFreshness(catalog.map(Catalog::version).orElse(0L), feed.ageMillis());
    }

    CallerLimits limits() {
        return catalog.map(Catalog::limits).orElse(CallerLimits.DEFAULT);
    }

    PlannedStop plannedStop() {
        return plannedStop;
    }

    Policy policy() {
        return settings.policy();
    }

    QuotaLedger quotas() {
        return quotas;
    }

    PromptCacheIndex prompts() {
        return prompts;
    }

    RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service, name -> new RetryBudget(settings.retryRatio(), settings.retryWindowMillis()));
    }

    /** Returns this process's share of the fleet's fixed retry allowance. */
    double retryAllowance() {
        return retryAllowance.share(settings.retryAllowance(), nowMillis());
    }

    /** Returns the number of other processes that this process knows, including suspected ones. */
    int knownPeers() {
        return members.all().size();
    }

    LocalQueues localQueues() {
        return localQueues;
    }

    Optional<Candidate> chooseLocally(Demand demand, long nowMillis) {
        return placement.select(demand, targets.ofService(demand.service()), targets.evacuated(), nowMillis);
    }

    /** Records that this process sends a request to a target that it has chosen itself. */
    void recordLocalDispatch(Candidate candidate, long nowMillis) {
        placement.recordDispatch(candidate, nowMillis);
    }

    /** Tells whether a target that was just selected may still receive a request. */
    boolean mayReceive(TargetEntry entry) {
        return targets.mayReceive(entry);
    }

    /** Tells whether this process reaches targets, itself or through a peer. */
    boolean reachesTargets() {
        return !targets.paths().partitioned() || relayPeers.available(ticker.nowMillis());
    }

    /** Tells whether this process reaches no target itself. */
    boolean partitioned() {
        return targets.paths().partitioned();
    }

    /** Returns the number of connections to targets that this process relays for peers. */
    int relayedConnections() {
        return relays.connectionCount();
    }

    /** Tells whether the path of this process to a target is lost. */
    boolean pathLost(TargetEntry entry) {
        return targets.paths().needsRelay(entry.state().target().id());
    }

    /** Records bytes that a target sent over a direct connection. */
    void reached(TargetEntry entry) {
        long nowMillis = ticker.nowMillis();
        entry.reached(nowMillis);
        targets.paths().bytesReceived(nowMillis);
    }

    /** Records bytes of a run's target, which is not silent any longer. */
    void targetResumed(TargetRun run) {
        if (!run.relayed()) {
            reached(run.entry());
        }
        targets.resumed(run.entry());
        run.resumed();
    }

    RejectionLimitTracker rejectionLimits() {
        return statedLimits.rejections();
    }

    CrashTracker crashes() {
        return crashes;
    }

    StatedRateTracker statedRates() {
        return statedLimits.rates();
    }

    LostRunRecorder lostRuns() {
        return lostRuns;
    }

    /** Tells whether a target is leaving, gone or evacuated. */
    boolean isOut(TargetEntry entry) {
        return targets.isOut(entry);
    }

    FailureReview failureReview() {
        return failureReview;
    }

    /** Returns how many targets of a service this process reaches over connections of its own. */
    TargetRegistry.Reach reach(String service) {
        return targets.reach(service);
    }

    /** Returns the number of targets of a service that owe this process a response and are silent. */
    int silentTargets(String service, long nowMillis) {
        return (int) exchanges.stream()
                .filter(exchange -> exchange.service().equals(service))
                .map(exchange -> exchange.silentTarget(nowMillis))
                .flatMap(Optional::stream)
                .distinct()
                .count();
    }

    TargetEntry entry(String targetId) {
        return targets.entry(targetId);
    }

    StreamTracker streams() {
        return streams;
    }

    /** Returns what is known of how targets end streams. */
    StreamEndTracker streamEnds() {
        return streamEnds;
    }

    /** Tells whether a service has a target of a version, outside of the given sets, that is not on its way out. */
    boolean hasTarget(String service, String version, Set<String> tried, Set<String> pathless) {
        return targets.hasTarget(service, version, id -> !tried.contains(id) && !pathless.contains(id));
    }

    ProcessInquiry processInquiry() {
        return processInquiry;
    }

    RunInquiry runInquiry() {
        return runInquiry;
    }

    /** Returns what is known of the versions at which streams can have begun. */
    VersionObserver versions() {
        return versions;
    }

    /**
     * Returns a consumer of what the publishing service knows of targets that were published before this process began
     * to watch.
     *
     * @return consumer, to be called on the front's thread with a history that is read from now on
     */
    public Consumer<TargetHistory> historyConsumer() {
        return versions.historyConsumer();
    }

    /** Records that the history of the publishing service is about to be read, for which resumed streams may wait. */
    public void expectHistory() {
        versions.expectHistory();
    }

    /**
     * Tells whether targets may have been published and removed before this process began to watch.
     *
     * @return false if the whole fleet was started with this process
     */
    public boolean hasUnobservedPast() {
        return !settings.freshFleet();
    }

    /** Sends a health check to a target; its response shows that the target is not silent. */
    void probe(TargetEntry entry) {
        targets.probe(entry);
    }

    /** Tells whether a service has a usable target of the required version that is not in the given set. */
    boolean hasUntriedTarget(String service, Optional<String> requiredVersion, Set<String> tried) {
        long nowMillis = ticker.nowMillis();
        return targets.ofService(service).stream()
                .filter(state -> requiredVersion
                        .map(version -> version.equals(state.target().version()))
                        .orElse(true))
                .anyMatch(state -> state.usable(nowMillis)
                        && !tried.contains(state.target().id()));
    }

    Coordination coordination() {
        return coordination;
    }

    String dataCentre() {
        return settings.dataCentre();
    }

    AdmissionControl admission() {
        return admission;
    }

    FrontMetrics metrics() {
        return metrics;
    }

    void targetFailed(TargetEntry entry, TargetFailure failure) {
        targets.recordFailure(entry, failure);
    }

    void targetAnsweredError(TargetEntry entry) {
        targets.recordError(entry);
    }

    void targetAnswered(TargetEntry entry) {
        entry.state().health().recordSuccess();
    }

    void exchangeStarted(CallerExchange exchange) {
        exchanges.add(exchange);
    }

    void exchangeEnded(CallerExchange exchange) {
        exchanges.remove(exchange);
    }

    void connectionOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void connectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }
}
