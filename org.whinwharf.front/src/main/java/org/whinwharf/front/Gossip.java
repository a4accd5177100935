package org.whinwharf.front;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.Beat;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Tells the other processes what this one does, and hears of them.
 *
 * <p>In a small fleet each process tells each other one directly. In a larger one it tells a few at random, and adds
 * the newest signs of life of all processes, which are a dozen bytes each. Its coordinators hear of it directly, but
 * only its own report: signs of life from everybody would take a fifth of their processor. A process that hears of one
 * that it does not know asks for the reports of all.
 */
final class Gossip {
    /** Peers told in one round of a larger fleet; with signs of life of ninety processes that is 9 KB/s. */
    private static final int FAN_OUT = 2;
    /** Rounds of a small fleet for one of a larger. */
    private static final int LARGE_FLEET_ROUND_DIVISOR = 2;
    /** Most bytes of a datagram, below the usual MTU. */
    private static final int MAX_DATAGRAM_BYTES = 1_300;
    /** Signs of life in a datagram; with a report or two they fill it. */
    private static final int MAX_HEARTBEATS = 90;
    /** Share of rounds in which a seed is told too, so that two halves that lost each other meet again. */
    private static final double SEED_PROBABILITY = 0.1;

    /** Takes what was heard. */
    interface Listener {
        /** Takes a report that is news. */
        void reportReceived(MemberReport report);
    }

    private final FrontSettings settings;
    private final MemberTable members;
    private final Ticker ticker;
    private final Random random;
    private final PeerDatagrams datagrams;
    private final Listener listener;
    private final Supplier<Collection<String>> coordinatorIps;
    private boolean unknownMemberSeen;
    private int roundCount;

    Gossip(
            FrontSettings settings,
            MemberTable members,
            Ticker ticker,
            Random random,
            PeerDatagrams datagrams,
            Listener listener,
            Supplier<Collection<String>> coordinatorIps) {
        this.settings = settings;
        this.members = members;
        this.ticker = ticker;
        this.random = random;
        this.datagrams = datagrams;
        this.listener = listener;
        this.coordinatorIps = coordinatorIps;
        datagrams.addListener(this::handleDatagram);
    }

    /** Tells peers the own state, and what was heard last as far as room allows. */
    void runRound() {
        roundCount++;
        if (members.large()) {
            if (roundCount % LARGE_FLEET_ROUND_DIVISOR == 0) {
                runLargeFleetRound();
            }
        } else {
            runSmallFleetRound();
        }
    }

    /** Tells peers at once, since a change of the own phase cannot wait for the next round. */
    void runRoundNow() {
        roundCount = -1;
        runRound();
    }

    private void runSmallFleetRound() {
        Set<String> ips = new LinkedHashSet<>();
        members.all().forEach(member -> ips.add(member.report().getIp()));
        boolean alone = ips.size() < 2;
        addSeeds(ips, alone);
        FleetDatagram.Builder datagram = newDatagram().addMembers(members.own());
        addReports(datagram, shuffledAliveMembers());
        send(datagram.setRosterWanted(alone || unknownMemberSeen).build(), ips);
    }

    private void runLargeFleetRound() {
        FleetDatagram report = newDatagram().addMembers(members.own()).build();
        Set<String> coordinators = new LinkedHashSet<>(coordinatorIps.get());
        coordinators.remove(settings.ip());
        datagrams.send(report, coordinators);
        Set<String> ips = new LinkedHashSet<>();
        List<Member> alive = members.alive(ticker.nowMillis());
        for (int i = 0; i < FAN_OUT && !alive.isEmpty(); i++) {
            ips.add(alive.remove(random.nextInt(alive.size())).report().getIp());
        }
        addSeeds(ips, false);
        FleetDatagram.Builder datagram = newDatagram().addMembers(members.own());
        for (Beat beat : members.beats(MAX_HEARTBEATS, ticker.nowMillis())) {
            datagram.addBeatMembers(beat.nameDigest())
                    .addBeatIncarnations(beat.incarnationDigest())
                    .addBeatSequences((int) beat.sequence())
                    .addBeatPhases(beat.phase());
        }
        send(datagram.setRosterWanted(unknownMemberSeen).build(), ips);
    }

    private void addSeeds(Set<String> ips, boolean certainly) {
        if (certainly || random.nextDouble() < SEED_PROBABILITY) {
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

    /** Adds reports while there is room, and returns those that found none. */
    private static List<Member> addReports(FleetDatagram.Builder datagram, List<Member> reports) {
        int room = MAX_DATAGRAM_BYTES - datagram.build().getSerializedSize();
        for (int i = 0; i < reports.size(); i++) {
            MemberReport report = reports.get(i).report();
            room -= report.getSerializedSize() + 4;
            if (room < 0) {
                return reports.subList(i, reports.size());
            }
            datagram.addMembers(report);
        }
        return List.of();
    }

    private void handleDatagram(FleetDatagram datagram, String fromIp) {
        long nowMillis = ticker.nowMillis();
        for (MemberReport report : datagram.getMembersList()) {
            if (members.hear(report, nowMillis)) {
                listener.reportReceived(report);
            }
        }
        for (int i = 0; i < datagram.getBeatMembersCount(); i++) {
            Beat beat = new Beat(
                    datagram.getBeatMembers(i),
                    datagram.getBeatIncarnations(i),
                    datagram.getBeatSequences(i),
                    datagram.getBeatPhases(i));
            unknownMemberSeen |= !members.hear(beat, nowMillis);
        }
        if (datagram.getRosterWanted()) {
            sendRoster(fromIp);
        }
    }

    private void sendRoster(String ip) {
        List<Member> left = shuffledAliveMembers();
        do {
            FleetDatagram.Builder datagram = newDatagram().addMembers(members.own());
            List<Member> rest = addReports(datagram, left);
            datagrams.send(datagram.build(), ip);
            left = rest.size() < left.size() ? rest : List.of();
        } while (!left.isEmpty());
    }
}
