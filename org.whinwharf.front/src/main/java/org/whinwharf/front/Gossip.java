package org.whinwharf.front;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberHeartbeat;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Propagates the state of this process to the other members and receives theirs.
 *
 * <p>In a small fleet each member sends its report directly to every other member. In a large fleet it sends the report
 * to a few random members, with the newest heartbeats of all members at a dozen bytes each. Its coordinators also get
 * the report directly, but without heartbeats: processing heartbeats from every member would take a fifth of their
 * processor time. A process that receives a heartbeat of an unknown member requests the reports of all members.
 */
final class Gossip {
    /** Random members contacted per round of a large fleet; with the heartbeats of ninety members this costs 9 KB/s. */
    private static final int FAN_OUT = 2;
    /** A large fleet sends in every n-th round only. */
    private static final int LARGE_FLEET_ROUND_DIVISOR = 2;
    /** Maximum size of a datagram in bytes; stays below the usual MTU. */
    private static final int MAX_DATAGRAM_BYTES = 1_300;
    /** Maximum number of heartbeats in a datagram; with one or two reports they fill it. */
    private static final int MAX_HEARTBEATS = 90;
    /** Number of heartbeats that take as much room as a target's stated rate. */
    private static final int HEARTBEATS_PER_RATE = 5;
    /** Probability that a round also contacts the seeds, so that the parts of a partitioned fleet meet again. */
    private static final double SEED_PROBABILITY = 0.1;

    /** Receives the reports of other members. */
    interface Listener {
        /** Handles a report that is newer than the last one of the same member. */
        void reportReceived(MemberReport report);
    }

    private final FrontSettings settings;
    private final MemberTable members;
    private final Ticker ticker;
    private final Random random;
    private final PeerDatagrams datagrams;
    private final Listener listener;
    private final Supplier<Collection<String>> coordinatorIps;
    private final CrashTracker crashes;
    private final StatedLimits statedLimits;
    private final StreamEndTracker streamEnds;
    private boolean unknownMemberSeen;
    private int roundCount;

    Gossip(
            FrontSettings settings,
            MemberTable members,
            Ticker ticker,
            Random random,
            PeerDatagrams datagrams,
            Listener listener,
            Supplier<Collection<String>> coordinatorIps,
            CrashTracker crashes,
            StatedLimits statedLimits,
            StreamEndTracker streamEnds) {
        this.settings = settings;
        this.members = members;
        this.ticker = ticker;
        this.random = random;
        this.datagrams = datagrams;
        this.listener = listener;
        this.coordinatorIps = coordinatorIps;
        this.crashes = crashes;
        this.statedLimits = statedLimits;
        this.streamEnds = streamEnds;
        datagrams.addListener(this::handleDatagram);
    }

    /** Tells whether the next round sends the local report; a large fleet sends it in some rounds only. */
    boolean nextRoundSends() {
        return !members.largeFleet() || (roundCount + 1) % LARGE_FLEET_ROUND_DIVISOR == 0;
    }

    /** Sends the local report to peers, and as much of the other members' state as fits. */
    void runRound() {
        boolean sends = nextRoundSends();
        roundCount++;
        if (sends && members.largeFleet()) {
            runLargeFleetRound();
        } else if (sends) {
            runSmallFleetRound();
        }
    }

    /** Sends immediately, because a change of the local phase cannot wait for the next round. */
    void runRoundNow() {
        roundCount = -1;
        runRound();
    }

    private void runSmallFleetRound() {
        Set<String> ips = new LinkedHashSet<>();
        members.all().forEach(member -> ips.add(member.report().getIp()));
        boolean fewPeersKnown = ips.size() < 2;
        addSeeds(ips, fewPeersKnown);
        FleetDatagram.Builder datagram = newDatagram().addMembers(members.localReport());
        crashes.addTo(datagram);
        statedLimits.addTo(datagram);
        streamEnds.addTo(datagram);
        addReports(datagram, shuffledAliveMembers());
        send(datagram.setRosterWanted(fewPeersKnown || unknownMemberSeen).build(), ips);
    }

    private void runLargeFleetRound() {
        FleetDatagram reportOnly =
                newDatagram().addMembers(members.localReport()).build();
        Set<String> coordinators = new LinkedHashSet<>(coordinatorIps.get());
        coordinators.remove(settings.ip());
        datagrams.send(reportOnly, coordinators);
        Set<String> ips = new LinkedHashSet<>();
        List<Member> candidates = members.alive(ticker.nowMillis());
        for (int i = 0; i < FAN_OUT && !candidates.isEmpty(); i++) {
            ips.add(candidates
                    .remove(random.nextInt(candidates.size()))
                    .report()
                    .getIp());
        }
        addSeeds(ips, false);
        FleetDatagram.Builder datagram = newDatagram().addMembers(members.localReport());
        crashes.addTo(datagram);
        statedLimits.addTo(datagram);
        streamEnds.addTo(datagram);
        int maxHeartbeats = MAX_HEARTBEATS - HEARTBEATS_PER_RATE * datagram.getStatedRatesCount();
        for (MemberHeartbeat heartbeat : members.heartbeats(maxHeartbeats, ticker.nowMillis())) {
            datagram.addBeatMembers(heartbeat.nameDigest())
                    .addBeatIncarnations(heartbeat.incarnationDigest())
                    .addBeatSequences((int) heartbeat.sequence())
                    .addBeatPhases(heartbeat.phase());
        }
        send(datagram.setRosterWanted(unknownMemberSeen).build(), ips);
    }

    private void addSeeds(Set<String> ips, boolean always) {
        if (always || random.nextDouble() < SEED_PROBABILITY) {
            ips.addAll(settings.seedIps());
        }
        ips.remove(settings.ip());
    }

    private void send(FleetDatagram datagram, Set<String> ips) {
        unknownMemberSeen = false;
        datagrams.send(datagram, ips);
    }

    private FleetDatagram.Builder newDatagram() {
        return FleetDatagram.newBuilder().setFrom(settings.name());
    }

    private List<Member> shuffledAliveMembers() {
        List<Member> alive = members.alive(ticker.nowMillis());
        Collections.shuffle(alive, random);
        return alive;
    }

    /** Adds reports while they fit into the datagram, and returns those that do not. */
    private static List<Member> addReports(FleetDatagram.Builder datagram, List<Member> reports) {
        int remainingBytes = MAX_DATAGRAM_BYTES - datagram.build().getSerializedSize();
        for (int i = 0; i < reports.size(); i++) {
            MemberReport report = reports.get(i).report();
            remainingBytes -= report.getSerializedSize() + 4;
            if (remainingBytes < 0) {
                return reports.subList(i, reports.size());
            }
            datagram.addMembers(report);
        }
        return List.of();
    }

    private void handleDatagram(FleetDatagram datagram, String senderIp) {
        long nowMillis = ticker.nowMillis();
        for (MemberReport report : datagram.getMembersList()) {
            if (members.receive(report, nowMillis)) {
                listener.reportReceived(report);
            }
        }
        for (int i = 0; i < datagram.getBeatMembersCount(); i++) {
            MemberHeartbeat heartbeat = new MemberHeartbeat(
                    datagram.getBeatMembers(i),
                    datagram.getBeatIncarnations(i),
                    datagram.getBeatSequences(i),
                    datagram.getBeatPhases(i));
            unknownMemberSeen |= !members.receive(heartbeat, nowMillis);
        }
        if (datagram.getRosterWanted()) {
            sendRoster(senderIp);
        }
    }

    private void sendRoster(String ip) {
        crashes.sendAllTo(ip);
        statedLimits.sendAllTo(ip);
        streamEnds.sendAllTo(ip);
        List<Member> remaining = shuffledAliveMembers();
        do {
            FleetDatagram.Builder datagram = newDatagram().addMembers(members.localReport());
            List<Member> notAdded = addReports(datagram, remaining);
            datagrams.send(datagram.build(), ip);
            remaining = notAdded.size() < remaining.size() ? notAdded : List.of();
        } while (!remaining.isEmpty());
    }
}
