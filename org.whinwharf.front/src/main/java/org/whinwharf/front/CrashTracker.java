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

/**
 * Tells the fleet of requests under which targets crash.
 *
 * <p>What this process learns of a lost run is sent to all peers before the caller can repeat the request, and again
 * with the gossip, since datagrams may be lost and peers may be cut off or just started.
 */
final class CrashTracker {
    /** Maximum number of runs in one datagram; with the longest ids they stay below the usual MTU. */
    private static final int MAX_RUNS_PER_DATAGRAM = 16;
    /** Number of runs that a gossip datagram carries. */
    private static final int RUNS_PER_GOSSIP = 6;
    /** Time for which gossip repeats a run: as long as callers repeat a request. */
    private static final long GOSSIP_MILLIS = 20_000;
    /** Maximum number of runs sent to a process that has just started. */
    private static final int MAX_RUNS_FOR_NEWCOMER = 400;

    /** Time after a lost run in which a target that lives on answers another request. */
    private static final long LIFE_SIGN_MILLIS = 500;

    private final CrashLedger ledger = new CrashLedger();
    private final FrontSettings settings;
    private final MemberTable members;
    private final TargetRegistry targets;
    private final PeerDatagrams datagrams;
    private final EventLoopGroup loop;
    private final Ticker ticker;
    private final Random random;
    /** Runs of which more is known than was sent to the peers, by their ids. */
    private final Map<Long, LostRun> unsent = new LinkedHashMap<>();

    private int gossipPosition;

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
        datagrams.addListener((datagram, senderIp) -> receive(datagram));
    }

    CrashLedger ledger() {
        return ledger;
    }

    /** Decides whether a request may be sent; digests its content only if there is anything to compare with. */
    Assessment assess(CallerExchange exchange) {
        return ledger.isEmpty() ? Assessment.CLEAN : assess(exchange.fingerprint());
    }

    private Assessment assess(Fingerprint fingerprint) {
        return ledger.assess(fingerprint, ticker.nowMillis());
    }

    /** Tells whether this process hears none of its peers, so that it may not know of crashes under their requests. */
    boolean cutOffFromPeers() {
        boolean expectsPeers = settings.expectsPeers() || !members.all().isEmpty();
        return expectsPeers && members.alive(ticker.nowMillis()).isEmpty();
    }

    /** Records a run that was lost with its connection, or in silence, and returns it. */
    LostRun runLost(Fingerprint fingerprint, TargetRun run, CrashEvidence evidence) {
        LostRun lost = ImmutableLostRun.builder()
                .id(LostRun.id(settings.name(), random.nextInt()))
                .fingerprint(fingerprint)
                .targetId(run.entry().state().target().id())
                .sentAtMillis(run.sentAtMillis())
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
            sendSoon(List.of(run));
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
        if (entry != null && entry.pool().livedOn(run.endedAtMillis())) {
            livedOn(run);
        }
    }

    /** Logs what this process has found out, and of what a peer says only what changes where a request may run. */
    private void log(LostRun run, String source) {
        Assessment assessment = assess(run.fingerprint());
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

    /** Tells the peers what is known now of runs that are recorded already. */
    private void update(List<LostRun> changed) {
        sendSoon(changed);
        changed.forEach(run -> {
            log(run, "");
            awaitLifeSign(run);
        });
    }

    private void receive(FleetDatagram datagram) {
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
                if (run.evidence() == CrashEvidence.CRASHED) {
                    targetCrashed(run.targetId());
                }
            }
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
        List<String> ips = members.alive(ticker.nowMillis()).stream()
                .map(Member::report)
                .map(report -> report.getIp())
                .toList();
        send(List.copyOf(unsent.values()), ips);
        unsent.clear();
    }

    private void send(List<LostRun> runs, Collection<String> ips) {
        long nowMillis = ticker.nowMillis();
        for (int from = 0; from < runs.size(); from += MAX_RUNS_PER_DATAGRAM) {
            FleetDatagram.Builder datagram = FleetDatagram.newBuilder().setFrom(settings.name());
            runs.subList(from, Math.min(runs.size(), from + MAX_RUNS_PER_DATAGRAM))
                    .forEach(run -> datagram.addLostRuns(LostRunMessages.toReport(run, nowMillis)));
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
        for (int i = 0; i < Math.min(RUNS_PER_GOSSIP, recent.size()); i++) {
            gossipPosition = (gossipPosition + 1) % recent.size();
            datagram.addLostRuns(LostRunMessages.toReport(recent.get(gossipPosition), nowMillis));
        }
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
