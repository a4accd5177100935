package org.whinwharf.front;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.crash.Assessment;
import org.whinwharf.traffic.crash.CrashEvidence;
import org.whinwharf.traffic.crash.CrashLedger;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.crash.ImmutableLostRun;
import org.whinwharf.traffic.crash.LostRun;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.LostRunReport;
import org.whinwharf.wire.fleet.PartServingReport;

/**
 * Tells the fleet of requests under which targets crash.
 *
 * <p>What this process learns of a lost run is sent to all peers before the caller can repeat the request, and again
 * with the gossip, since datagrams may be lost and peers may be cut off or just started.
 */
final class CrashTracker {
    /** Number of runs that a gossip datagram carries. */
    private static final int RUNS_PER_GOSSIP = 6;
    /** Number of served parts that a gossip datagram carries. */
    private static final int SERVINGS_PER_GOSSIP = 12;
    /** Time for which gossip repeats a run: as long as callers repeat a request. */
    private static final long GOSSIP_MILLIS = 20_000;
    /** Maximum number of runs sent to a process that has just started. */
    private static final int MAX_RUNS_FOR_NEWCOMER = 400;

    /** Time after a lost run in which a target that lives on answers another request. */
    private static final long LIFE_SIGN_MILLIS = 500;
    /** Time for which a target writes a response before it shows that the request does not crash it. */
    static final long MIN_WRITING_MILLIS = 1_000;
    /** Maximum number of parts in one datagram. */
    private static final int MAX_SERVINGS_PER_DATAGRAM = 64;
    /** Maximum delay for each peer of telling that a part was served, so that few of those who see it tell it. */
    private static final long SERVING_DELAY_PER_PEER_MILLIS = 2;
    /** Maximum size of a datagram's lost runs, which leaves room for the rest of it below the usual MTU. */
    private static final int MAX_RUN_BYTES = 1_000;
    /** Maximum number of runs in a placement request; more than a quarantine takes. */
    private static final int MAX_RUNS_OF_SUSPECT = 6;

    private final CrashLedger ledger = new CrashLedger();
    private final FrontSettings settings;
    private final MemberTable members;
    private final TargetRegistry targets;
    private final PeerDatagrams datagrams;
    private final EventLoopGroup loop;
    private final Ticker ticker;
    private final Random random;
    /** Name of this process that a later one of the same name, whose clock may be another, does not have. */
    private final String origin;
    /** Runs of which more is known than was sent to the peers, by their ids. */
    private final Map<Long, LostRun> unsent = new LinkedHashMap<>();

    /** Times at which parts were served, in milliseconds, which the peers are to be told. */
    private final Map<Fingerprint, Long> untoldServings = new LinkedHashMap<>();

    private int gossipPosition;
    private int gossipServingPosition;

    CrashTracker(
            FrontSettings settings,
            MemberTable members,
            TargetRegistry targets,
            PeerDatagrams datagrams,
            EventLoopGroup loop,
            Ticker ticker,
            Random random) {
        this.settings = settings;
        this.members = members;
        this.targets = targets;
        this.datagrams = datagrams;
        this.loop = loop;
        this.ticker = ticker;
        this.random = random;
        origin = settings.name() + '@' + ticker.nowMillis();
        datagrams.addListener((datagram, senderIp) -> receive(datagram));
    }

    CrashLedger ledger() {
        return ledger;
    }

    /** Decides whether a request may be sent; digests its content only if there is anything to compare with. */
    Assessment assess(CallerExchange exchange) {
        return ledger.isEmpty()
                ? Assessment.CLEAN
                : ledger.assess(exchange.fingerprint(), exchange.sharedParts(), ticker.nowMillis());
    }

    /** Returns what a coordinator needs to know of the crashes that are held against a request. */
    List<LostRunReport> runsOf(Fingerprint suspect) {
        List<LostRun> runs = ledger.runsOf(suspect);
        return toReports(runs.subList(Math.max(0, runs.size() - MAX_RUNS_OF_SUSPECT), runs.size()));
    }

    private List<LostRunReport> toReports(Collection<LostRun> runs) {
        long nowMillis = ticker.nowMillis();
        return runs.stream()
                .map(run -> LostRunMessages.toReport(run, ledger.unservedParts(run), nowMillis))
                .toList();
    }

    /** Tells whether this process hears none of its peers, so that it may not know of crashes under their requests. */
    boolean cutOffFromPeers() {
        boolean expectsPeers = settings.expectsPeers() || !members.all().isEmpty();
        return expectsPeers && members.alive(ticker.nowMillis()).isEmpty();
    }

    /** Records a run that was lost with its connection, or in silence, and returns it. */
    LostRun runLost(CallerExchange exchange, TargetRun run, CrashEvidence evidence) {
        LostRun lost = ImmutableLostRun.builder()
                .id(LostRun.id(origin, random.nextInt()))
                .fingerprint(exchange.fingerprint())
                .sharedParts(exchange.sharedParts())
                .targetId(run.entry().state().target().id())
                .sentAtMillis(run.sentAtMillis())
                .originSentMillis(run.sentAtMillis())
                .endedAtMillis(ticker.nowMillis())
                .evidence(evidence)
                .build();
        record(lost);
        return lost;
    }

    /** Records that a run has lost its path only, as far as the target is not known to have crashed. */
    void pathLost(LostRun run) {
        update(ledger.pathLost(run.id(), ticker.nowMillis()));
    }

    /** Records that the target of a run has lived on. */
    void livedOn(LostRun run) {
        update(ledger.livedOn(run.id(), ticker.nowMillis()));
    }

    /** Records a lost run, and tells the peers. */
    void record(LostRun run) {
        // Runs whose callers left are many, and few of them concern a crash.
        if (ledger.record(run, ticker.nowMillis()) && run.evidence() != CrashEvidence.POSSIBLE) {
            // This process may be gone at the end of the event, after the caller was told to repeat the request.
            send(List.of(run), peerIps());
            log(run, "");
            awaitLifeSign(run);
        }
    }

    /** Clears a run whose target answers over a connection that it would have lost in a crash. */
    private void awaitLifeSign(LostRun run) {
        if (run.evidence().counted()) {
            loop.schedule(() -> checkLifeSign(run), LIFE_SIGN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkLifeSign(LostRun run) {
        TargetEntry entry = targets.entry(run.targetId());
        // A target that is back at once answers before the front that lost the run may have noticed it.
        if (entry != null && entry.pool().livedOn(run.sentAtMillis(), run.endedAtMillis())) {
            livedOn(run);
        }
    }

    /** Logs what this process has found out, and of what a peer says only what changes where a request may run. */
    private void log(LostRun run, String source) {
        Assessment assessment = ledger.assess(run.fingerprint(), run.sharedParts(), ticker.nowMillis());
        if (source.isEmpty() || assessment.strongSuspect()) {
            FrontLog.crashSuspected(run, assessment, ticker.nowMillis(), source);
        }
    }

    /** Records that a target has crashed; runs that were lost shortly before were lost with it. */
    void targetCrashed(String targetId) {
        update(ledger.targetCrashed(targetId, ticker.nowMillis()));
    }

    /** Records that a target has served a request. */
    void served(CallerExchange exchange) {
        if (!ledger.isEmpty()) {
            update(ledger.served(exchange.fingerprint(), ticker.nowMillis()));
        }
    }

    /** Records that a target has served a request whole; clears the parts that it shares with others. */
    void partsServed(CallerExchange exchange, TargetRun run, boolean endDeclared) {
        if (ledger.isEmpty()) {
            return;
        }
        if (endDeclared) {
            partsServed(exchange);
        } else if (!lostParts(exchange).isEmpty()) {
            // The response may have ended with the target.
            loop.schedule(
                    () -> {
                        if (!run.entry().crashedSince(run.sentAtMillis())) {
                            partsServed(exchange);
                        }
                    },
                    LIFE_SIGN_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Records that a target goes on writing a response; clears the parts that the request shares with others. */
    void partsBeingServed(CallerExchange exchange, TargetRun run) {
        if (!ledger.isEmpty() && run.writingMillis(ticker.nowMillis()) >= MIN_WRITING_MILLIS) {
            partsServed(exchange);
        }
    }

    private void partsServed(CallerExchange exchange) {
        for (Fingerprint part : exchange.sharedParts()) {
            if (ledger.isLostPart(part)) {
                partServed(part);
            } else {
                ledger.partServedBefore(part, ticker.nowMillis());
            }
        }
    }

    private List<Fingerprint> lostParts(CallerExchange exchange) {
        return ledger.isEmpty()
                ? List.of()
                : exchange.sharedParts().stream().filter(ledger::isLostPart).toList();
    }

    private void partServed(Fingerprint part) {
        long nowMillis = ticker.nowMillis();
        Assessment before = ledger.assess(part, nowMillis);
        ledger.partServed(part, nowMillis);
        if (before.suspect()) {
            FrontLog.partCleared(part, before);
        }
        if (untoldServings.isEmpty()) {
            int peers = members.alive(nowMillis).size();
            long delayMillis = random.nextInt((int) (1 + peers * SERVING_DELAY_PER_PEER_MILLIS));
            loop.schedule(this::sendServings, delayMillis, TimeUnit.MILLISECONDS);
        }
        untoldServings.put(part, nowMillis);
    }

    /** Tells the peers of the parts that were served, apart from those that a peer has told of meanwhile. */
    private void sendServings() {
        long nowMillis = ticker.nowMillis();
        List<String> ips = peerIps();
        List<PartServingReport> reports = untoldServings.entrySet().stream()
                .map(serving -> LostRunMessages.toReport(serving.getKey(), serving.getValue(), nowMillis))
                .toList();
        // Emptied before anything can fail, since the next serving is sent only if none is waiting.
        untoldServings.clear();
        for (int from = 0; from < reports.size(); from += MAX_SERVINGS_PER_DATAGRAM) {
            datagrams.send(
                    FleetDatagram.newBuilder()
                            .setFrom(settings.name())
                            .addAllPartsServed(
                                    reports.subList(from, Math.min(reports.size(), from + MAX_SERVINGS_PER_DATAGRAM)))
                            .build(),
                    ips);
        }
    }

    private void mergeServings(List<PartServingReport> reports) {
        long nowMillis = ticker.nowMillis();
        for (PartServingReport report : reports) {
            Fingerprint part = new Fingerprint(report.getPart());
            ledger.partServed(part, nowMillis - Integer.toUnsignedLong(report.getAgeMillis()));
            untoldServings.remove(part);
        }
    }

    /** Tells the peers what is known now of runs that are recorded already. */
    private void update(List<LostRun> changed) {
        sendSoon(changed);
        changed.forEach(run -> {
            log(run, "");
            awaitLifeSign(run);
        });
    }

    private void receive(FleetDatagram datagram) {
        mergeServings(datagram.getPartsServedList());
        merge(datagram.getLostRunsList());
        datagram.getAsksList().forEach(request -> merge(request.getLostRunsList()));
    }

    private void merge(List<LostRunReport> reports) {
        long nowMillis = ticker.nowMillis();
        for (LostRunReport report : reports) {
            LostRun run = LostRunMessages.fromReport(report, nowMillis);
            if (ledger.record(run, nowMillis)) {
                log(run, "peer");
                awaitLifeSign(run);
                recordBreakOff(run);
                if (run.evidence() == CrashEvidence.CRASHED) {
                    targetCrashed(run.targetId());
                }
            }
        }
    }

    /** Records that a target broke off a response to a peer; its responses to this process may end early as well. */
    private void recordBreakOff(LostRun run) {
        TargetEntry entry = targets.entry(run.targetId());
        if (entry != null && run.evidence() == CrashEvidence.LOST) {
            entry.brokeOff(run.endedAtMillis());
        }
    }

    /** Sends runs to all peers at the end of the current event, which may concern more of them. */
    private void sendSoon(Collection<LostRun> runs) {
        if (unsent.isEmpty() && !runs.isEmpty()) {
            loop.execute(this::sendUnsent);
        }
        runs.forEach(run -> unsent.put(run.id(), run));
    }

    private void sendUnsent() {
        List<LostRun> runs = List.copyOf(unsent.values());
        // Emptied before anything can fail, since the next run is sent only if none is waiting.
        unsent.clear();
        send(runs, peerIps());
    }

    private List<String> peerIps() {
        return members.alive(ticker.nowMillis()).stream()
                .map(Member::report)
                .map(report -> report.getIp())
                .toList();
    }

    private void send(Collection<LostRun> runs, Collection<String> ips) {
        FleetDatagram.Builder datagram = FleetDatagram.newBuilder().setFrom(settings.name());
        int bytes = 0;
        for (LostRunReport report : toReports(runs)) {
            if (bytes + report.getSerializedSize() > MAX_RUN_BYTES) {
                datagrams.send(datagram.build(), ips);
                datagram.clearLostRuns();
                bytes = 0;
            }
            datagram.addLostRuns(report);
            bytes += report.getSerializedSize();
        }
        if (datagram.getLostRunsCount() > 0) {
            datagrams.send(datagram.build(), ips);
        }
    }

    /** Adds some of the recent runs to a gossip datagram, each in its turn. */
    void addTo(FleetDatagram.Builder datagram) {
        if (ledger.isEmpty()) {
            return;
        }
        long nowMillis = ticker.nowMillis();
        List<LostRun> recent = new ArrayList<>(ledger.all());
        recent.removeIf(run -> nowMillis - run.endedAtMillis() > GOSSIP_MILLIS);
        List<LostRun> next = new ArrayList<>();
        for (int i = 0; i < Math.min(RUNS_PER_GOSSIP, recent.size()); i++) {
            gossipPosition = (gossipPosition + 1) % recent.size();
            next.add(recent.get(gossipPosition));
        }
        datagram.addAllLostRuns(toReports(next));
        datagram.addAllPartsServed(nextServings(nowMillis));
    }

    private List<PartServingReport> nextServings(long nowMillis) {
        List<Map.Entry<Fingerprint, Long>> recent =
                List.copyOf(ledger.servings().entrySet());
        List<PartServingReport> next = new ArrayList<>();
        for (int i = 0; i < Math.min(SERVINGS_PER_GOSSIP, recent.size()); i++) {
            gossipServingPosition = (gossipServingPosition + 1) % recent.size();
            Map.Entry<Fingerprint, Long> serving = recent.get(gossipServingPosition);
            next.add(LostRunMessages.toReport(serving.getKey(), serving.getValue(), nowMillis));
        }
        return next;
    }

    /** Sends the newest runs to a process that has just started or was cut off. */
    void sendAllTo(String ip) {
        List<LostRun> all = ledger.all();
        send(all.subList(Math.max(0, all.size() - MAX_RUNS_FOR_NEWCOMER), all.size()), List.of(ip));
    }

    /** Forgets what is no longer held against any request. */
    void sweep() {
        ledger.expire(ticker.nowMillis());
    }
}
