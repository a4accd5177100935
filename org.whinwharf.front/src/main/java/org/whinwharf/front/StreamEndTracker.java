package org.whinwharf.front;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.traffic.stream.EndCheck;
import org.whinwharf.traffic.stream.ImmutableEndCheck;
import org.whinwharf.traffic.stream.StreamEndCounts;
import org.whinwharf.traffic.stream.StreamEndLedger;
import org.whinwharf.wire.fleet.EndCheckReport;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.StreamEndCount;

/**
 * Tells which ends of streams are to be doubted, of those that only the end of a connection has told.
 *
 * <p>A front receives a part of the streams of each target, and may have just started, so what all fronts have seen
 * counts. What is found out of an end is gossiped; the first cut that a front sees is sent to all peers at once.
 */
final class StreamEndTracker {
    /** Time for which a target that broke off a response is expected to break off others. */
    private static final long BREAK_OFF_MEMORY_MILLIS = 30_000;
    /**
     * Time for which gossip repeats a check: shorter than it is remembered, as on its way it seems younger than it is,
     * and must not come back to a process that has forgotten it.
     */
    private static final long GOSSIP_MILLIS = 20_000;
    /** Number of checks that a gossip datagram carries: the newest that found a cut, and another one. */
    private static final int CHECKS_PER_GOSSIP = 2;
    /** Maximum number of checks that a newcomer is sent at once; stays below the usual MTU. */
    private static final int MAX_CHECKS_PER_DATAGRAM = 20;
    /** Maximum number of services of which a report has counts. */
    private static final int MAX_REPORTED_SERVICES = 8;

    private final FrontSettings settings;
    private final MemberTable members;
    private final TargetRegistry targets;
    private final PeerDatagrams datagrams;
    private final Predicate<String> inCatalog;
    private final Ticker ticker;
    private final Random random;
    /** By service; only services of the catalog have one. */
    private final Map<String, StreamEndLedger> ledgers = new HashMap<>();

    private int gossipPosition;

    /** One check and its service. */
    private record ServiceCheck(String service, EndCheck check) {}

    /**
     * Creates a tracker that knows of no stream.
     *
     * @param inCatalog tells whether the catalog has a service
     */
    StreamEndTracker(
            FrontSettings settings,
            MemberTable members,
            TargetRegistry targets,
            PeerDatagrams datagrams,
            Predicate<String> inCatalog,
            Ticker ticker,
            Random random) {
        this.settings = settings;
        this.members = members;
        this.targets = targets;
        this.datagrams = datagrams;
        this.inCatalog = inCatalog;
        this.ticker = ticker;
        this.random = random;
        datagrams.addListener((datagram, senderIp) -> receive(datagram));
    }

    /** Records the end of a stream, whole or broken off. */
    void ended(String service, boolean declared) {
        ledger(service).ended(declared);
    }

    /** Records what was found out of an undeclared end. */
    void verified(String service, EndVerdict verdict) {
        if (verdict == EndVerdict.UNKNOWN) {
            return;
        }
        EndCheck check = ImmutableEndCheck.builder()
                .id(random.nextLong())
                .cut(verdict == EndVerdict.CUT)
                .checkedAtMillis(ticker.nowMillis())
                .build();
        boolean first = check.cut() && !cutsShown(service);
        ledger(service).checked(check);
        if (first) {
            FleetDatagram.Builder datagram = FleetDatagram.newBuilder().setFrom(settings.name());
            datagram.addEndChecks(report(new ServiceCheck(service, check)));
            datagrams.send(
                    datagram.build(),
                    members.alive(ticker.nowMillis()).stream()
                            .map(member -> member.report().getIp())
                            .toList());
        }
    }

    /** Tells whether streams of a service with an undeclared end have lately been found to be cut. */
    boolean cutsShown(String service) {
        return ledger(service).cutsShown(ticker.nowMillis());
    }

    /**
     * Tells whether an undeclared end may be a cut: the target has broken off another response, streams of the service
     * hardly ever end so, or some that did were cut.
     *
     * @param maxShare share of the service's streams of which the ends can all be verified
     */
    boolean doubted(String service, TargetEntry target, double maxShare) {
        return breaksOff(target) || rare(service, maxShare) || cutsShown(service);
    }

    /**
     * Tells whether an undeclared end is more likely a cut than the end of a whole stream, as far as it cannot be
     * verified: streams of the service were found to be cut, or both the end is odd there and targets break off
     * responses.
     *
     * @param maxShare largest share of undeclared ends at which one is odd
     */
    boolean likelyCut(String service, double maxShare) {
        if (cutsShown(service)) {
            return true;
        }
        boolean brokenOff = targets.all().stream()
                .filter(entry -> entry.state().target().service().equals(service))
                .anyMatch(this::breaksOff);
        return brokenOff && rare(service, maxShare) && !ledger(service).wholeShown(ticker.nowMillis());
    }

    private boolean breaksOff(TargetEntry target) {
        return target.brokeOffSince(ticker.nowMillis() - BREAK_OFF_MEMORY_MILLIS);
    }

    private boolean rare(String service, double maxShare) {
        List<StreamEndCounts> others = members.alive(ticker.nowMillis()).stream()
                .flatMap(member -> member.report().getStreamEndsList().stream())
                .filter(counts -> counts.getServiceDigest() == service.hashCode())
                .map(counts ->
                        new StreamEndCounts(Math.max(0, counts.getDeclared()), Math.max(0, counts.getUndeclared())))
                .toList();
        return ledger(service).undeclaredRare(maxShare, others);
    }

    private StreamEndLedger ledger(String service) {
        return ledgers.computeIfAbsent(service, name -> new StreamEndLedger());
    }

    /** Adds the counts of this process to its report. */
    void addTo(MemberReport.Builder report) {
        ledgers.entrySet().stream()
                .limit(MAX_REPORTED_SERVICES)
                .map(entry -> StreamEndCount.newBuilder()
                        .setServiceDigest(entry.getKey().hashCode())
                        .setDeclared(entry.getValue().counts().declared())
                        .setUndeclared(entry.getValue().counts().undeclared()))
                .forEach(report::addStreamEnds);
    }

    /** Adds a few of the latest checks to a gossip datagram, each in its turn. */
    void addTo(FleetDatagram.Builder datagram) {
        List<ServiceCheck> checks = checks();
        checks.stream()
                .filter(known -> known.check().cut())
                .max(Comparator.comparingLong(known -> known.check().checkedAtMillis()))
                .ifPresent(newest -> datagram.addEndChecks(report(newest)));
        while (!checks.isEmpty() && datagram.getEndChecksCount() < Math.min(CHECKS_PER_GOSSIP, checks.size())) {
            gossipPosition = (gossipPosition + 1) % checks.size();
            datagram.addEndChecks(report(checks.get(gossipPosition)));
        }
    }

    /** Sends all checks to a process that has just started or was cut off. */
    void sendAllTo(String ip) {
        List<ServiceCheck> checks = checks();
        for (int from = 0; from < checks.size(); from += MAX_CHECKS_PER_DATAGRAM) {
            FleetDatagram.Builder datagram = FleetDatagram.newBuilder().setFrom(settings.name());
            checks.subList(from, Math.min(checks.size(), from + MAX_CHECKS_PER_DATAGRAM))
                    .forEach(known -> datagram.addEndChecks(report(known)));
            datagrams.send(datagram.build(), ip);
        }
    }

    /** Returns the checks that are told to others. */
    private List<ServiceCheck> checks() {
        long nowMillis = ticker.nowMillis();
        List<ServiceCheck> checks = new ArrayList<>();
        ledgers.forEach((service, ledger) -> ledger.checks(nowMillis).stream()
                .filter(check -> nowMillis - check.checkedAtMillis() <= GOSSIP_MILLIS)
                .forEach(check -> checks.add(new ServiceCheck(service, check))));
        return checks;
    }

    private EndCheckReport report(ServiceCheck known) {
        return EndCheckReport.newBuilder()
                .setId(known.check().id())
                .setService(known.service())
                .setCut(known.check().cut())
                .setAgeMillis((int) (ticker.nowMillis() - known.check().checkedAtMillis()))
                .build();
    }

    private void receive(FleetDatagram datagram) {
        for (EndCheckReport report : datagram.getEndChecksList()) {
            if (inCatalog.test(report.getService())) {
                ledger(report.getService())
                        .checked(ImmutableEndCheck.builder()
                                .id(report.getId())
                                .cut(report.getCut())
                                .checkedAtMillis(ticker.nowMillis() - Integer.toUnsignedLong(report.getAgeMillis()))
                                .build());
            }
        }
    }

    /** Forgets services that the catalog no longer has. */
    void sweep() {
        ledgers.keySet().removeIf(inCatalog.negate());
    }
}
