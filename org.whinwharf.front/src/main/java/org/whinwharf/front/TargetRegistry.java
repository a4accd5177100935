package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.TargetService;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.traffic.coordination.TargetOutcomeListener;
import org.whinwharf.traffic.path.TargetPaths;
import org.whinwharf.traffic.stream.ImmutableTargetHistory;
import org.whinwharf.traffic.stream.PublicationObservation;
import org.whinwharf.traffic.stream.ServiceVersions;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.stream.TargetHistory;
import org.whinwharf.traffic.target.SpeedBaseline;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.traffic.target.TargetProcess;
import org.whinwharf.traffic.target.TargetProcesses;
import org.whinwharf.traffic.target.TargetState;

/** Holds all targets known to this process, with their connections and health. */
final class TargetRegistry implements TargetOutcomeListener {
    /** Extra time for which a target counts as cold after the announced end, which may be one heartbeat out of date. */
    private static final long COLD_MARGIN_MILLIS = 300;
    /** Maximum share of a service's targets that may be ejected because of error responses alone. */
    private static final double MAX_EJECTED_SHARE = 0.4;
    /** Timeout of a health check, as the shortest latency objective of a service allows no more. */
    private static final long PROBE_TIMEOUT_MILLIS = 500;
    /** Maximum size of the body of a response to a health check. */
    private static final int MAX_PROBE_BYTES = 64 * 1_024;
    /** Time for which a target counts as reached after its last bytes or the last connection to it. */
    private static final long REACHED_RETENTION_MILLIS = 3_000;

    private final EventLoopGroup loop;
    private final HttpDialect dialect;
    private final Ticker ticker;
    private final Supplier<Optional<Catalog>> catalog;
    private final Map<String, TargetEntry> entries = new HashMap<>();
    private final Map<String, Map<String, TargetState>> byService = new HashMap<>();
    private final Map<String, SpeedBaseline> baselines = new HashMap<>();
    private final TargetProcesses processes;
    private final boolean speedsCompared;
    private final ServiceVersions versions = new ServiceVersions();
    private final PublicationObservation observation;
    /** What the publishing service knows of the time before the observation began. */
    private TargetHistory history =
            ImmutableTargetHistory.builder().reachMillis(0).build();

    private final FrontMetrics metrics;
    private final TargetPaths paths;
    private TargetConnector connector;
    private Consumer<String> crashListener = targetId -> {};
    private Runnable entryListener = () -> {};
    private ProcessInquiry processInquiry;
    private StatedRateTracker statedRates;
    private RejectionLimitTracker rejectionLimits;
    private Set<String> evacuated = Set.of();
    private long timersRanAtMillis;
    private long polledAtMillis;

    /**
     * Creates an empty registry.
     *
     * @param targetHeartbeatMillis interval in milliseconds at which targets write their entries; 0 if unknown
     * @param speedsCompared true if the speeds of a service's targets are compared with each other
     * @param reachChanged run when this process becomes partitioned from all targets or reaches them again
     */
    TargetRegistry(
            EventLoopGroup loop,
            HttpDialect dialect,
            Ticker ticker,
            Supplier<Optional<Catalog>> catalog,
            FrontMetrics metrics,
            long targetHeartbeatMillis,
            boolean speedsCompared,
            Runnable reachChanged) {
        this.speedsCompared = speedsCompared;
        this.metrics = metrics;
        paths = new TargetPaths(new PathChangeHandler(this, ticker, reachChanged));
        this.loop = loop;
        this.dialect = dialect;
        this.ticker = ticker;
        observation = new PublicationObservation(ticker.nowMillis());
        this.catalog = catalog;
        processes = new TargetProcesses(targetHeartbeatMillis, this::isEngine);
    }

    /** Sets the connector of all targets that are published from now on. */
    void connectThrough(TargetConnector targetConnector) {
        connector = targetConnector;
    }

    /** Sets the tracker of the rates that targets state, which has to know of their restarts and health checks. */
    void trackRates(StatedRateTracker tracker) {
        statedRates = tracker;
    }

    /** Sets the tracker of the rejections that targets bear. */
    void trackRejectionLimits(RejectionLimitTracker tracker) {
        rejectionLimits = tracker;
        tracker.onChange(
                (service, limited) -> ofService(service).forEach(state -> state.setRejectionsLimited(limited)));
    }

    /** Sets the consumer of the ids of targets that have crashed. */
    void onCrash(Consumer<String> listener) {
        crashListener = listener;
    }

    /** Records that a target has crashed, or that another one has its place. */
    void crashed(TargetEntry entry) {
        entry.crashed(ticker.nowMillis());
        processes.lost(entry.state().target().id(), ticker.nowMillis());
        crashListener.accept(entry.state().target().id());
    }

    /** Returns the paths of this process to the targets. */
    TargetPaths paths() {
        return paths;
    }

    /** Sets the inquiry that asks targets for their processes; it learns of each entry that was read. */
    void inquireBy(ProcessInquiry inquiry) {
        processInquiry = inquiry;
        entryListener = inquiry::recheck;
    }

    /** Returns the processes that the entries of targets have named lately. */
    TargetProcesses processes() {
        return processes;
    }

    /**
     * Adds or updates a published target; a target that starts or restarts after the initial copy counts as cold.
     *
     * @param writtenSinceMillis monotonic time in milliseconds at or after which the entry was written;
     *     {@link Long#MIN_VALUE} if unknown
     */
    void publish(Target target, boolean afterInitialCopy, long writtenSinceMillis) {
        long nowMillis = ticker.nowMillis();
        TargetProcess process = processes.published(target, writtenSinceMillis, nowMillis);
        TargetEntry entry = entries.get(target.id());
        boolean addressChanged =
                entry != null && !entry.state().target().address().equals(target.address());
        boolean serviceChanged =
                entry != null && !entry.state().target().service().equals(target.service());
        if (addressChanged || serviceChanged) {
            Target before = entry.state().target();
            versions.seen(before.service(), before.version(), nowMillis);
            evict(target.id());
            entry = null;
        }
        boolean restarted = entry != null
                && (entry.state().target().startedUnixMillis() != target.startedUnixMillis()
                        || entry.state().removed(nowMillis));
        boolean added = entry == null;
        if (added) {
            entry = newEntry(target, process);
            entries.put(target.id(), entry);
            byService.computeIfAbsent(target.service(), name -> new HashMap<>()).put(target.id(), entry.state());
            restarted = afterInitialCopy;
            FrontLog.published(target, target.draining() ? "leaving" : "new");
        } else if (entry.state().target().draining() != target.draining() || restarted) {
            FrontLog.published(target, target.draining() ? "leaving" : "reborn");
        }
        versions.seen(target.service(), entry.state().target().version(), nowMillis);
        versions.seen(target.service(), target.version(), nowMillis);
        versions.published(target.service(), target.id(), target.startedUnixMillis());
        long knownStartUnixMillis = entry.state().target().startedUnixMillis();
        if (knownStartUnixMillis > 0
                && knownStartUnixMillis != target.startedUnixMillis()
                && !entry.state().target().draining()) {
            crashed(entry);
        }
        if (knownStartUnixMillis != target.startedUnixMillis()) {
            entry.restarted(nowMillis);
            statedRates.restarted(target);
        }
        entry.pool().published(process);
        entry.state().update(target);
        entryListener.run();
        long coldMillis = target.coldRemainingMillis();
        if (restarted) {
            coldMillis = Math.max(coldMillis, coldStartMillis(target.service()));
        }
        if (coldMillis > 0) {
            entry.state().markColdUntil(nowMillis + coldMillis + COLD_MARGIN_MILLIS);
        }
        if (target.draining()) {
            entry.pool().closeIdle();
        }
    }

    private TargetEntry newEntry(Target target, TargetProcess process) {
        TargetState state = new TargetState(
                target, baselines.computeIfAbsent(target.service(), name -> new SpeedBaseline(speedsCompared)));
        state.setRejectionsLimited(rejectionLimits.limited(target.service()));
        return new TargetEntry(state, new TargetConnectionPool(connector, target, process, ticker, metrics));
    }

    /** Records that a target's entry was removed; the target counts as gone from the given time on. */
    void remove(String targetId, long goneAtMillis) {
        TargetEntry entry = entries.get(targetId);
        if (entry != null) {
            entry.state().markRemovedAt(goneAtMillis);
            versions.seen(
                    entry.state().target().service(), entry.state().target().version(), ticker.nowMillis());
            FrontLog.published(entry.state().target(), "removed");
        }
    }

    /** Sets the data centres that receive no new requests; targets in a data centre that returns count as cold. */
    void evacuate(Set<String> dataCentres) {
        long nowMillis = ticker.nowMillis();
        Set<String> returned = new HashSet<>(evacuated);
        returned.removeAll(dataCentres);
        evacuated = Set.copyOf(dataCentres);
        for (TargetEntry entry : entries.values()) {
            Target target = entry.state().target();
            if (returned.contains(target.dataCentre())) {
                entry.state().markColdUntil(nowMillis + coldStartMillis(target.service()) + COLD_MARGIN_MILLIS);
            }
        }
    }

    Set<String> evacuated() {
        return evacuated;
    }

    /** Tells whether a target that was just selected may still receive a request. */
    boolean mayReceive(TargetEntry entry) {
        return entry.state().usable(ticker.nowMillis())
                && !evacuated.contains(entry.state().target().dataCentre());
    }

    /** Tells whether a target is leaving, gone or evacuated, whatever its health. */
    boolean isOut(TargetEntry entry) {
        Target target = entry.state().target();
        return target.draining()
                || entry.state().removed(ticker.nowMillis())
                || evacuated.contains(target.dataCentre());
    }

    /**
     * Tells whether another process is known to have taken a target's place: the target was published with another
     * start time since the given time, or another target has its address.
     */
    boolean replacedSince(Target target, long sinceMillis) {
        TargetEntry entry = entries.get(target.id());
        if (entry != null
                && (entry.restartedSince(sinceMillis)
                        || entry.pool().process().successorStartUnixMillis().isPresent())) {
            return true;
        }
        return entries.values().stream()
                .map(other -> other.state().target())
                .anyMatch(other -> !other.id().equals(target.id())
                        && other.address().equals(target.address())
                        && (entry == null
                                || other.startedUnixMillis()
                                        > entry.state().target().startedUnixMillis()));
    }

    /** Returns a random sample of the targets, whatever their health. */
    List<TargetEntry> sample(int maxCount) {
        List<TargetEntry> all = new ArrayList<>(entries.values());
        Collections.shuffle(all);
        return all.subList(0, Math.min(maxCount, all.size()));
    }

    /** Returns targets other than the given one: those in use that this process has reached last, then ejected ones. */
    List<TargetEntry> lastReached(String exceptTargetId, int maxCount) {
        Comparator<TargetEntry> ejectedLast =
                Comparator.comparing(entry -> entry.state().health().ejected());
        return entries.values().stream()
                .filter(entry -> !entry.state().target().id().equals(exceptTargetId) && !isOut(entry))
                .sorted(ejectedLast.thenComparing(Comparator.comparingLong(TargetEntry::lastReachedAtMillis)
                        .reversed()))
                .limit(maxCount)
                .toList();
    }

    TargetEntry entry(String targetId) {
        return entries.get(targetId);
    }

    Collection<TargetState> ofService(String service) {
        Map<String, TargetState> states = byService.get(service);
        return states == null ? List.of() : states.values();
    }

    /**
     * Tells whether a service has a target of a version that may get requests, now or once it is in use again. Targets
     * of a version that this process has not seen yet are assumed to be about to be published.
     */
    boolean hasTarget(String service, String version, Predicate<String> targetIds) {
        if (!versions.hasSeen(service, version)) {
            return true;
        }
        return ofService(service).stream()
                .map(state -> entry(state.target().id()))
                .anyMatch(entry -> !isOut(entry)
                        && entry.state().target().version().equals(version)
                        && targetIds.test(entry.state().target().id()));
    }

    /** Returns the names of all services that have had targets. */
    Set<String> services() {
        return byService.keySet();
    }

    /** Tells since when this process knows of every target that was published. */
    PublicationObservation observation() {
        return observation;
    }

    /** Adds what the publishing service knows of targets that were published before this process began to watch. */
    void addHistory(TargetHistory added) {
        long nowMillis = ticker.nowMillis();
        history = added;
        added.versions().forEach(known -> versions.seen(known.service(), known.version(), nowMillis));
        observation.extendBack(nowMillis - added.reachMillis());
    }

    /**
     * Returns the only version that targets of a service can have had lately; empty if there were others, or may have
     * been.
     *
     * @param certifiedVersion version that a peer says is the only one; empty if none does
     * @param spanMillis time up to now in milliseconds
     */
    Optional<String> onlyVersion(String service, Optional<String> certifiedVersion, long spanMillis) {
        long nowMillis = ticker.nowMillis();
        ofService(service)
                .forEach(state -> versions.seen(service, state.target().version(), nowMillis));
        boolean observed = observation.covers(spanMillis, nowMillis)
                && (!observation.dependsOnHistory(spanMillis, nowMillis) || noneStartedWithin(service, spanMillis));
        return versions.onlyVersion(service, nowMillis, spanMillis)
                .filter(version ->
                        observed || certifiedVersion.filter(version::equals).isPresent());
    }

    /**
     * Records what the process at a target's address states of itself.
     *
     * @param asked target as it was published when the process was asked
     * @param startedUnixMillis start that the process states, in Unix milliseconds
     * @param askedAtMillis monotonic time in milliseconds at which it was asked
     * @return target as it is published for that process, perhaps only since it was asked; empty if it is not
     */
    Optional<Target> stated(Target asked, long startedUnixMillis, long askedAtMillis) {
        processes.stated(asked, startedUnixMillis, askedAtMillis);
        Stream<Target> current = Stream.ofNullable(entries.get(asked.id()))
                .map(entry -> entry.state().target())
                .filter(target -> target.address().equals(asked.address())
                        && target.service().equals(asked.service()));
        Optional<Target> published = Stream.concat(Stream.of(asked), current)
                .filter(target -> target.startedUnixMillis() == startedUnixMillis)
                .findFirst();
        if (published.isEmpty()) {
            versions.seenUnpublished(asked.service(), asked.id(), startedUnixMillis, ticker.nowMillis());
        }
        return published;
    }

    /** Tells whether all targets of a service that this process knows of have had one version lately. */
    boolean hasOneVersion(String service) {
        return versions.onlyVersion(service, ticker.nowMillis()).isPresent();
    }

    /** Tells whether no target of a service can lately have replaced one of another version under its id unnoticed. */
    private boolean noneStartedWithin(String service, long millis) {
        long sinceUnixMillis = System.currentTimeMillis() - millis - StreamOrigins.CLOCK_TOLERANCE_MILLIS;
        LongStream starts = ofService(service).stream()
                .map(TargetState::target)
                .filter(target -> !history.targetIds().contains(target.id()))
                .mapToLong(Target::startedUnixMillis);
        LongStream startsInHistory =
                Stream.ofNullable(history.unexplainedStarts().get(service)).mapToLong(Long::longValue);
        return LongStream.concat(starts, startsInHistory)
                .allMatch(startedUnixMillis -> startedUnixMillis > 0 && startedUnixMillis < sinceUnixMillis);
    }

    /** Returns the ids of all targets. */
    Set<String> ids() {
        return entries.keySet();
    }

    Collection<TargetEntry> all() {
        return entries.values();
    }

    /** Returns the number of targets that are ejected after failures. */
    long ejected() {
        return entries.values().stream()
                .filter(entry -> entry.state().health().ejected())
                .count();
    }

    /** Records a failure in the target's health. */
    void recordFailure(TargetEntry entry, TargetFailure failure) {
        if (failure == TargetFailure.UNREACHABLE) {
            crashed(entry);
        }
        if (failure == TargetFailure.SILENT) {
            recordSilence(entry, failure.name(), "");
        } else {
            recordFailure(entry, failure.conclusive(), failure.name(), "");
        }
    }

    private void recordSilence(TargetEntry entry, String reason, String reporter) {
        if (entry.state().health().recordSilence(ticker.nowMillis())) {
            ejected(entry, reason, reporter);
        }
    }

    /** Records that a target has sent bytes; one that was ejected for its silence is in use again. */
    void resumed(TargetEntry entry) {
        if (entry.state().health().recordLifeSign()) {
            FrontLog.returned(entry.state().target(), 0);
        }
    }

    private void recordFailure(TargetEntry entry, boolean conclusive, String reason, String reporter) {
        if (entry.state().health().recordFailure(ticker.nowMillis(), conclusive)) {
            ejected(entry, reason, reporter);
        }
    }

    private void ejected(TargetEntry entry, String reason, String reporter) {
        entry.pool().closeIdle();
        metrics.ejected();
        logEjection(entry, reason, reporter);
    }

    private void logEjection(TargetEntry entry, String reason, String reporter) {
        FrontLog.ejected(entry, reason, reporter, ticker.nowMillis(), reach(""));
    }

    /** Records an attempt of this process to connect to a target for a request or a health check. */
    void connectAttempted(String targetId, boolean connected, long tookMillis) {
        TargetEntry entry = entries.get(targetId);
        if (entry != null && connected) {
            reached(entry);
        } else if (entry != null) {
            metrics.connectFailed();
            FrontLog.unreachable(entry.state().target(), tookMillis, reach(""));
        }
    }

    /** Records that this process has connected to a target. */
    void reached(TargetEntry entry) {
        long nowMillis = ticker.nowMillis();
        entry.reached(nowMillis);
        paths.connected(entry.state().target().id(), nowMillis);
    }

    /** Number of targets that this process reaches, of those published. */
    record Reach(int reachedTargets, int knownTargets) {}

    /** Returns how many targets of a service this process reaches, or of all services if the name is empty. */
    Reach reach(String service) {
        long sinceMillis = ticker.nowMillis() - REACHED_RETENTION_MILLIS;
        int reached = 0;
        int known = 0;
        for (TargetEntry entry : entries.values()) {
            if (service.isEmpty() || entry.state().target().service().equals(service)) {
                known++;
                reached += entry.reachedSince(sinceMillis) ? 1 : 0;
            }
        }
        return new Reach(reached, known);
    }

    /** Records an error response in the target's health, unless too many targets of its service are already ejected. */
    void recordError(TargetEntry entry) {
        Collection<TargetState> states = ofService(entry.state().target().service());
        long ejected = states.stream().filter(state -> state.health().ejected()).count();
        if (ejected + 1 > states.size() * MAX_EJECTED_SHARE) {
            return;
        }
        if (entry.state().health().recordErrorAnswer(ticker.nowMillis())) {
            metrics.ejected();
            logEjection(entry, "ERRORS", "");
        }
    }

    @Override
    public void answered(String targetId) {
        TargetEntry entry = entries.get(targetId);
        if (entry != null) {
            entry.answered(ticker.nowMillis());
            entry.state().health().recordSuccess();
        }
    }

    @Override
    public void erred(String targetId) {
        TargetEntry entry = entries.get(targetId);
        if (entry != null) {
            recordError(entry);
        }
    }

    @Override
    public void failed(String targetId, boolean conclusive, String reporter) {
        TargetEntry entry = entries.get(targetId);
        if (entry != null) {
            recordFailure(entry, conclusive, "REPORTED", reporter);
        }
    }

    @Override
    public void silent(String targetId, String reporter) {
        TargetEntry entry = entries.get(targetId);
        if (entry != null) {
            recordSilence(entry, "REPORTED", reporter);
        }
    }

    @Override
    public void resumed(String targetId) {
        TargetEntry entry = entries.get(targetId);
        if (entry != null) {
            resumed(entry);
        }
    }

    /** Sets the load of all processes at a target. */
    void updateLoad(String targetId, RunningRequests.Load load) {
        TargetEntry entry = entries.get(targetId);
        if (entry != null) {
            entry.state().updateCoordinatedLoad(load.running(), load.prefillTokens());
        }
    }

    /**
     * Probes ejected targets, evicts targets that are gone, closes stale connections and records the versions that are
     * in use.
     */
    void sweep() {
        long nowMillis = ticker.nowMillis();
        processes.sweep(entries.keySet(), nowMillis);
        for (TargetEntry entry : List.copyOf(entries.values())) {
            entry.pool().closeStale();
            TargetState state = entry.state();
            if (state.removed(nowMillis)) {
                entry.pool().closeIdle();
                if (state.localInFlight() == 0) {
                    evict(state.target().id());
                }
                continue;
            }
            versions.seen(state.target().service(), state.target().version(), nowMillis);
            if (!state.target().draining() && state.health().beginProbe(nowMillis)) {
                probe(entry);
            }
        }
    }

    private void evict(String targetId) {
        TargetEntry entry = entries.remove(targetId);
        // Requests that wait for a connection hold the entry.
        entry.state().markRemovedAt(ticker.nowMillis());
        paths.forget(targetId);
        statedRates.removed(targetId);
        entry.pool().closeIdle();
        byService.get(entry.state().target().service()).remove(targetId);
    }

    private boolean isEngine(String service) {
        return catalog.get()
                .flatMap(known -> known.service(service))
                .map(TargetService::engine)
                .orElse(false);
    }

    private long coldStartMillis(String service) {
        return catalog.get()
                .flatMap(known -> known.service(service))
                .map(TargetService::coldStartMillis)
                .orElse(0L);
    }

    /**
     * Records that the event loop runs its timers.
     *
     * @param late whether they are run late, so that the loop may not have polled its connections since the time before
     */
    void timersRun(long nowMillis, boolean late) {
        polledAtMillis = late ? timersRanAtMillis : nowMillis;
        timersRanAtMillis = nowMillis;
    }

    /** Returns a monotonic time in milliseconds after which the event loop has polled its connections. */
    long polledAtMillis() {
        return polledAtMillis;
    }

    /**
     * Finds out whether the published process of a target is still at its address, by its report; or, where targets do
     * not report, by a health check, whether a process with the target's id is.
     *
     * @param consumer receives false also if there is no answer in time
     */
    void confirmInstance(Target target, Consumer<Boolean> consumer) {
        TargetEntry entry = entries.get(target.id());
        if (entry == null) {
            consumer.accept(false);
            return;
        }
        long askedAtMillis = ticker.nowMillis();
        if (!processInquiry.possible(entry)) {
            checkInstance(entry, target, consumer);
            return;
        }
        TargetProcess process = entry.pool().process();
        processInquiry.ask(entry, () -> {
            boolean served = process.serves(askedAtMillis);
            // Another process under the same id would pass a health check.
            if (served || processes.mayReport(target.service(), ticker.nowMillis())) {
                consumer.accept(served);
            } else {
                checkInstance(entry, target, consumer);
            }
        });
    }

    private void checkInstance(TargetEntry entry, Target target, Consumer<Boolean> consumer) {
        entry.pool().acquireForProbe(acquired -> {
            if (acquired.connection().isEmpty()) {
                consumer.accept(false);
                return;
            }
            InstanceCheck check =
                    new InstanceCheck(target.id(), acquired.connection().get(), consumer);
            loop.schedule(() -> check.concluded(false), PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            statedRates.probed(target.id());
            check.connection.send(
                    dialect.instanceCheck(target.address(), healthPath(target), target.id()),
                    Unpooled.EMPTY_BUFFER,
                    "",
                    check);
        });
    }

    private String healthPath(Target target) {
        return catalog.get()
                .flatMap(known -> known.service(target.service()))
                .map(TargetService::healthPath)
                .orElse("/");
    }

    /** Sends a health check to a target. */
    void probe(TargetEntry entry) {
        Target target = entry.state().target();
        FullHttpRequest check = dialect.healthCheck(target.address(), healthPath(target));
        Probe probe = new Probe(entry);
        entry.pool().acquireForProbe(acquired -> {
            if (acquired.connection().isEmpty()) {
                probe.done(OptionalLong.empty());
                return;
            }
            probe.connection = acquired.connection().get();
            statedRates.probed(target.id());
            loop.schedule(probe::timedOut, PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            probe.connection.send(check, Unpooled.EMPTY_BUFFER, "", probe);
        });
    }

    /** A health check of which only the head of the answer counts. */
    private final class InstanceCheck implements TargetListener {
        private final String targetId;
        private final TargetConnection connection;
        private final Consumer<Boolean> consumer;
        private boolean ended;

        InstanceCheck(String targetId, TargetConnection connection, Consumer<Boolean> consumer) {
            this.targetId = targetId;
            this.connection = connection;
            this.consumer = consumer;
        }

        @Override
        public void head(HttpResponse response, ResponseHead head) {
            // A full or leaving target rejects the check, and it does so as the one that is asked for.
            boolean healthy = dialect.readHealth(response, targetId).isPresent();
            concluded(!head.wrongTarget() && (healthy || head.status() != HttpResponseStatus.OK.code()));
        }

        @Override
        public void content(ByteBuf chunk) {
            chunk.release();
        }

        @Override
        public void complete() {
            concluded(false);
        }

        @Override
        public void failed(TargetFailure failure) {
            concluded(false);
        }

        void concluded(boolean confirmed) {
            if (!ended) {
                ended = true;
                connection.cancel();
                consumer.accept(confirmed);
            }
        }
    }

    private final class Probe implements TargetListener {
        private final TargetEntry entry;
        private TargetConnection connection;
        private OptionalLong coldMillis = OptionalLong.empty();
        private long bodyBytes;
        private boolean ended;

        Probe(TargetEntry entry) {
            this.entry = entry;
        }

        @Override
        public void head(HttpResponse response, ResponseHead head) {
            entry.bytesReceived(ticker.nowMillis());
            statedRates.probeAnswered(entry.state().target(), head);
            coldMillis = dialect.readHealth(response, entry.state().target().id());
        }

        @Override
        public void content(ByteBuf chunk) {
            bodyBytes += chunk.readableBytes();
            chunk.release();
            if (bodyBytes > MAX_PROBE_BYTES && !ended) {
                connection.cancel();
                done(OptionalLong.empty());
            }
        }

        @Override
        public void complete() {
            done(coldMillis);
        }

        @Override
        public void failed(TargetFailure failure) {
            done(OptionalLong.empty());
        }

        void timedOut() {
            if (!ended) {
                connection.cancel();
                done(OptionalLong.empty());
            }
        }

        void done(OptionalLong cold) {
            ended = true;
            long nowMillis = ticker.nowMillis();
            boolean ejected = entry.state().health().ejected();
            entry.state().health().recordProbeResult(nowMillis, cold.isPresent());
            if (ejected && cold.isPresent()) {
                if (cold.getAsLong() > 0) {
                    entry.state().markColdUntil(nowMillis + cold.getAsLong() + COLD_MARGIN_MILLIS);
                }
                FrontLog.returned(entry.state().target(), cold.getAsLong());
            }
        }
    }
}
