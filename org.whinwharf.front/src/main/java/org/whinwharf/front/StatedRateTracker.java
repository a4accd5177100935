package org.whinwharf.front;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.traffic.policy.Mechanism;
import org.whinwharf.traffic.rate.ImmutableStatedRate;
import org.whinwharf.traffic.rate.RateAdmission;
import org.whinwharf.traffic.rate.RateStatement;
import org.whinwharf.traffic.rate.StatedRate;
import org.whinwharf.traffic.rate.StatedRates;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.RateUse;
import org.whinwharf.wire.fleet.StatedRateReport;

/**
 * Tells the fleet of the rates of requests that targets state, and of the requests that are counted against them.
 *
 * <p>A change is sent to all peers before the answer is passed on, and again with the gossip, since datagrams may be
 * lost and peers may be cut off or just started.
 */
final class StatedRateTracker {
    /** Number of targets in a gossip datagram, each in its turn. */
    private static final int RATES_PER_GOSSIP = 6;
    /** Number of targets in a member report, each in its turn. */
    private static final int USES_PER_REPORT = 30;
    /** Number of targets in a datagram to a process that has just started. */
    private static final int RATES_PER_DATAGRAM = 12;

    private final FrontSettings settings;
    private final MemberTable members;
    private final PeerDatagrams datagrams;
    private final Ticker ticker;
    private final Random random;
    private final boolean enabled;
    private final StatedRates table = new StatedRates();
    private final RateAdmission ofProcess;
    private int gossipPosition;
    private int reportPosition;

    StatedRateTracker(
            FrontSettings settings, MemberTable members, PeerDatagrams datagrams, Ticker ticker, Random random) {
        this.settings = settings;
        this.members = members;
        this.datagrams = datagrams;
        this.ticker = ticker;
        this.random = random;
        enabled = settings.policy().isEnabled(Mechanism.STATED_RATES);
        ofProcess = table.ofProcess(this::rateSharers);
        datagrams.addListener((datagram, senderIp) -> receive(datagram));
    }

    /** Returns the number of processes among which a rate is divided if no coordinator counts the requests. */
    private int rateSharers() {
        long nowMillis = ticker.nowMillis();
        return members.inMinority(nowMillis)
                ? members.possiblyServingNames(nowMillis).size()
                : 1 + members.alive(nowMillis).size();
    }

    /** Returns the rates, and what is counted against them. */
    StatedRates table() {
        return table;
    }

    /** Returns the admission by which this process decides without a coordinator. */
    RateAdmission ofProcess() {
        return ofProcess;
    }

    /** Records what the head of an answer to a request says. */
    void answered(TargetRun run, ResponseHead head) {
        boolean mayEnd = head.signed() && !head.notExecuted();
        if (!head.wrongTarget() && (head.rateStatement().limited() || mayEnd)) {
            apply(run.target(), head.rateStatement(), run.sentAtMillis());
        }
    }

    /** Records what the head of an answer to a health check says; one without a rate doesn't end a limit. */
    void probeAnswered(Target target, ResponseHead head) {
        if (head.rateStatement().limited() && !head.wrongTarget()) {
            apply(target, head.rateStatement(), ticker.nowMillis());
        }
    }

    private void apply(Target target, RateStatement statement, long sentAtMillis) {
        boolean concerns = statement.limited() || limits(target.id());
        if (!enabled || !concerns || statement.kind() == RateStatement.Kind.UNREADABLE) {
            return;
        }
        Optional<StatedRate> before = table.find(target.id());
        StatedRate said = statedNow(target, statement);
        if (table.answered(said, sentAtMillis)) {
            send(List.of(said), peerIps());
            log(before, said, "");
        }
    }

    private StatedRate statedNow(Target target, RateStatement statement) {
        return ImmutableStatedRate.builder()
                .id(random.nextLong())
                .targetId(target.id())
                .service(target.service())
                .statement(statement)
                .statedAtMillis(ticker.nowMillis())
                .build();
    }

    /** Records that a target has restarted, and has stated nothing since. */
    void restarted(Target target) {
        if (limits(target.id())) {
            Optional<StatedRate> before = table.find(target.id());
            StatedRate none = statedNow(target, RateStatement.NONE);
            table.merge(none, ticker.nowMillis());
            log(before, none, "");
        }
    }

    /** Drops what is known of a target that is gone. */
    void removed(String targetId) {
        table.remove(targetId);
    }

    /** Counts a health check, which a target takes for a request. */
    void probed(String targetId) {
        table.count(targetId, ticker.nowMillis());
    }

    boolean limits(String targetId) {
        return ofProcess.limits(targetId);
    }

    /** Tells whether a target of a service states a rate, so that one process has to count its requests. */
    boolean limitsService(String service) {
        return table.limitsService(service);
    }

    /** Returns the services with a target that states a rate. */
    Set<String> services() {
        return table.services();
    }

    /** Counts a request that no coordinator has counted, if this process may send it. */
    boolean tryCount(String targetId) {
        long nowMillis = ticker.nowMillis();
        boolean admitted = ofProcess.admits(targetId, nowMillis);
        if (admitted) {
            ofProcess.dispatched(targetId, nowMillis);
        }
        return admitted;
    }

    /** Tells whether a run that is about to be sent is counted, or may be if its target was not limited before. */
    boolean admits(TargetRun run) {
        String targetId = run.target().id();
        return run.candidate().rateCounted() || !limits(targetId) || tryCount(targetId);
    }

    /** Returns the rate that a target has stated; empty if it takes any number of requests. */
    OptionalDouble rateOf(String targetId) {
        return table.rateOf(targetId);
    }

    /** Returns the number of targets that have stated a rate. */
    int limitedTargets() {
        return table.limitedTargets();
    }

    /** Adds to a report how many requests this process has counted. */
    void addTo(MemberReport.Builder report) {
        if (table.limitedTargets() > 0) {
            List<RateUse> uses = new ArrayList<>();
            table.countedTotals()
                    .forEach((digest, total) -> uses.add(RateUse.newBuilder()
                            .setTargetDigest(digest)
                            .setCountedTotal(total)
                            .build()));
            report.addAllRateUses(next(uses, reportPosition, USES_PER_REPORT));
            reportPosition += USES_PER_REPORT;
        }
    }

    /** Counts what a peer has reported. */
    void applyReport(MemberReport report) {
        long nowMillis = ticker.nowMillis();
        report.getRateUsesList()
                .forEach(use -> table.receiveTotal(
                        report.getName(),
                        report.getIncarnation(),
                        use.getTargetDigest(),
                        use.getCountedTotal(),
                        nowMillis));
    }

    /** Adds some of the rates to a gossip datagram. */
    void addTo(FleetDatagram.Builder datagram) {
        List<StatedRate> all = table.all();
        if (!all.isEmpty()) {
            datagram.addAllStatedRates(toReports(next(all, gossipPosition, RATES_PER_GOSSIP)));
            gossipPosition += RATES_PER_GOSSIP;
        }
    }

    /** Returns up to a number of elements, beginning at a position in the list that goes round. */
    private static <T> List<T> next(List<T> all, int position, int maxCount) {
        List<T> next = new ArrayList<>();
        for (int i = 0; i < Math.min(maxCount, all.size()); i++) {
            next.add(all.get(Math.floorMod(position + i, all.size())));
        }
        return next;
    }

    /** Sends all rates to a process that has just started or was cut off. */
    void sendAllTo(String ip) {
        send(table.all(), List.of(ip));
    }

    /** Sends the rate of one target to a process that seems not to know it. */
    void sendTo(String targetId, String ip) {
        table.find(targetId).ifPresent(rate -> send(List.of(rate), List.of(ip)));
    }

    private void send(List<StatedRate> rates, Collection<String> ips) {
        for (int from = 0; from < rates.size(); from += RATES_PER_DATAGRAM) {
            List<StatedRate> part = rates.subList(from, Math.min(rates.size(), from + RATES_PER_DATAGRAM));
            datagrams.send(
                    FleetDatagram.newBuilder()
                            .setFrom(settings.name())
                            .addAllStatedRates(toReports(part))
                            .build(),
                    ips);
        }
    }

    private List<String> peerIps() {
        return members.alive(ticker.nowMillis()).stream()
                .map(member -> member.report().getIp())
                .toList();
    }

    private List<StatedRateReport> toReports(List<StatedRate> rates) {
        long nowMillis = ticker.nowMillis();
        return rates.stream()
                .map(rate -> StatedRateReport.newBuilder()
                        .setId(rate.id())
                        .setTarget(rate.targetId())
                        .setService(rate.service())
                        .setLimited(rate.statement().limited())
                        .setRequestsPerSecond(rate.statement().requestsPerSecond())
                        .setAgeMillis((int) Math.max(0, nowMillis - rate.statedAtMillis()))
                        .build())
                .toList();
    }

    private void receive(FleetDatagram datagram) {
        if (!enabled || datagram.getStatedRatesCount() == 0) {
            return;
        }
        long nowMillis = ticker.nowMillis();
        for (StatedRateReport report : datagram.getStatedRatesList()) {
            StatedRate rate = ImmutableStatedRate.builder()
                    .id(report.getId())
                    .targetId(report.getTarget())
                    .service(report.getService())
                    .statement(
                            report.getLimited()
                                    ? new RateStatement(RateStatement.Kind.LIMIT, report.getRequestsPerSecond())
                                    : RateStatement.NONE)
                    .statedAtMillis(nowMillis - report.getAgeMillis())
                    .build();
            Optional<StatedRate> before = table.find(rate.targetId());
            if (table.merge(rate, nowMillis)) {
                log(before, rate, datagram.getFrom());
            }
        }
    }

    private void log(Optional<StatedRate> before, StatedRate now, String peer) {
        FrontLog.statedRateChanged(
                now.service(),
                now.targetId(),
                before.map(StatedRate::statement)
                        .map(StatedRateTracker::toOptional)
                        .orElse(OptionalDouble.empty()),
                toOptional(now.statement()),
                peer,
                ticker.nowMillis() - now.statedAtMillis());
    }

    private static OptionalDouble toOptional(RateStatement statement) {
        return statement.limited() ? OptionalDouble.of(statement.requestsPerSecond()) : OptionalDouble.empty();
    }

    /** Forgets what no longer matters. */
    void sweep(Set<String> knownTargetIds) {
        table.expire(knownTargetIds, ticker.nowMillis());
    }
}
