package org.whinwharf.traffic.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * The processes of the fleet, by what they say of themselves and how long ago.
 *
 * <p>A process that stops without a word is noticed by silence alone, on the steady clock of whoever listens, so a jump
 * of anyone's time of day changes nothing. A process that hears an older life of itself spoken of with a higher
 * incarnation than its own (its time of day stepped back between the lives) takes a higher one, or nobody would believe
 * it.
 */
public final class MemberTable {
    /** Silence after which a process is named to nobody: seven lost reports in a row. */
    public static final long SUSPECT_TIMEOUT_MILLIS = 1_500;
    /** The same in a large fleet, where a sign of life goes from hand to hand some five times. */
    public static final long LARGE_FLEET_SUSPECT_TIMEOUT_MILLIS = 3_000;
    /** Processes from which on a fleet is large: below, each tells each other one directly. */
    public static final int LARGE_FLEET_THRESHOLD = 12;
    /** Silence after which a process no longer counts as part of the fleet: longer than a restart or a short cut. */
    public static final long EXPIRY_TIMEOUT_MILLIS = 20_000;

    /** What is used beyond the strict part while processes are silent. */
    private static final double SHARE_OVERCOMMIT_FACTOR = 1.2;

    private final Map<String, Entry> remoteMembers = new TreeMap<>();
    private final Map<Integer, Entry> entriesByNameDigest = new HashMap<>();
    private MemberReport localReport;

    /**
     * Creates a table that holds only this process.
     *
     * @param own this process's first report
     */
    public MemberTable(MemberReport own) {
        this.localReport = own;
    }

    /**
     * Returns this process's own report.
     *
     * @return the report as last made
     */
    public MemberReport localReport() {
        return localReport;
    }

    /**
     * Makes the next report of this process.
     *
     * @param next report without incarnation and sequence
     */
    public void updateLocalReport(MemberReport.Builder next) {
        localReport = next.setIncarnation(localReport.getIncarnation())
                .setSequence(localReport.getSequence() + 1)
                .build();
    }

    /**
     * Takes a report.
     *
     * @param report what a process said of itself, heard from it or through another
     * @param nowMillis steady time in milliseconds
     * @return true when it is news
     */
    public boolean receive(MemberReport report, long nowMillis) {
        if (report.getName().equals(localReport.getName())) {
            if (report.getIncarnation() > localReport.getIncarnation()) {
                localReport = localReport.toBuilder()
                        .setIncarnation(report.getIncarnation() + 1)
                        .build();
            }
            return false;
        }
        Entry entry = remoteMembers.get(report.getName());
        Member known = entry == null ? null : entry.member;
        if (known == null || report.getIncarnation() > known.report().getIncarnation()) {
            put(new Member(report, report.getSequence(), nowMillis));
            return true;
        }
        boolean older = report.getIncarnation() < known.report().getIncarnation()
                || report.getSequence() <= known.report().getSequence();
        if (older) {
            return false;
        }
        if (report.getSequence() > known.heartbeatSequence()) {
            put(new Member(report, report.getSequence(), nowMillis));
        } else {
            MemberPhase newest = known.report().getPhase();
            MemberReport merged = report.toBuilder().setPhase(newest).build();
            put(new Member(merged, known.heartbeatSequence(), known.receivedAtMillis()));
        }
        return true;
    }

    /**
     * Takes a sign of life that came without a report.
     *
     * @param beat the sign of life
     * @param nowMillis steady time in milliseconds
     * @return false when the lifetime that it is of is not known
     */
    public boolean receive(MemberHeartbeat beat, long nowMillis) {
        if (beat.nameDigest() == localReport.getName().hashCode()) {
            return true;
        }
        Entry entry = entriesByNameDigest.get(beat.nameDigest());
        if (entry == null || (int) entry.member.report().getIncarnation() != beat.incarnationDigest()) {
            return false;
        }
        Member known = entry.member;
        if (beat.sequence() > known.heartbeatSequence()) {
            MemberReport report = known.report();
            if (report.getPhase() != beat.phase()) {
                report = report.toBuilder().setPhase(beat.phase()).build();
            }
            entry.member = new Member(report, beat.sequence(), nowMillis);
        }
        return true;
    }

    /**
     * Returns the newest signs of life, this process's first.
     *
     * @param most longest list
     * @param nowMillis steady time in milliseconds
     * @return signs of life
     */
    public List<MemberHeartbeat> heartbeats(int most, long nowMillis) {
        List<MemberHeartbeat> beats = new ArrayList<>();
        beats.add(toHeartbeat(localReport, localReport.getSequence()));
        List<Member> newestFirst = alive(nowMillis);
        newestFirst.sort((left, right) -> Long.compare(right.receivedAtMillis(), left.receivedAtMillis()));
        for (Member member : newestFirst.subList(0, Math.min(newestFirst.size(), most - 1))) {
            beats.add(toHeartbeat(member.report(), member.heartbeatSequence()));
        }
        return beats;
    }

    private static MemberHeartbeat toHeartbeat(MemberReport report, long sequence) {
        return new MemberHeartbeat(
                report.getName().hashCode(), (int) report.getIncarnation(), sequence, report.getPhase());
    }

    private void put(Member member) {
        String name = member.report().getName();
        Entry entry = remoteMembers.computeIfAbsent(name, key -> new Entry());
        entry.member = member;
        entriesByNameDigest.put(name.hashCode(), entry);
    }

    /**
     * Forgets processes that have been silent for long, and at once those that said that they leave.
     *
     * @param nowMillis steady time in milliseconds
     * @return names of those forgotten
     */
    public List<String> expire(long nowMillis) {
        List<String> forgotten = new ArrayList<>();
        remoteMembers.values().removeIf(entry -> {
            Member member = entry.member;
            long silentMillis = nowMillis - member.receivedAtMillis();
            boolean left =
                    member.report().getPhase() == MemberPhase.MEMBER_LEAVING && silentMillis > SUSPECT_TIMEOUT_MILLIS;
            boolean drop = left || silentMillis > EXPIRY_TIMEOUT_MILLIS;
            if (drop) {
                forgotten.add(member.report().getName());
                entriesByNameDigest.remove(member.report().getName().hashCode());
            }
            return drop;
        });
        return forgotten;
    }

    /**
     * Returns the other processes that are heard from.
     *
     * @param nowMillis steady time in milliseconds
     * @return members, in a list of the caller's own
     */
    public List<Member> alive(long nowMillis) {
        long limitMillis = largeFleet() ? LARGE_FLEET_SUSPECT_TIMEOUT_MILLIS : SUSPECT_TIMEOUT_MILLIS;
        List<Member> alive = new ArrayList<>(remoteMembers.size());
        for (Entry entry : remoteMembers.values()) {
            if (nowMillis - entry.member.receivedAtMillis() <= limitMillis) {
                alive.add(entry.member);
            }
        }
        return alive;
    }

    /**
     * Tells whether the fleet is too large for each to tell each other one directly.
     *
     * @return true in a large fleet
     */
    public boolean largeFleet() {
        return remoteMembers.size() + 1 >= LARGE_FLEET_THRESHOLD;
    }

    /**
     * Returns all other processes, silent ones too.
     *
     * @return members
     */
    public Collection<Member> all() {
        return remoteMembers.values().stream().map(entry -> entry.member).toList();
    }

    /**
     * Returns the processes that callers may be sent to, this one first when it serves.
     *
     * @param nowMillis steady time in milliseconds
     * @return reports
     */
    public List<MemberReport> serving(long nowMillis) {
        return servingMembers(nowMillis).stream().map(Member::report).collect(Collectors.toCollection(ArrayList::new));
    }

    /**
     * Returns the processes that serve, with their signs of life, this one first when it does.
     *
     * @param nowMillis steady time in milliseconds
     * @return members
     */
    public List<Member> servingMembers(long nowMillis) {
        List<Member> serving = new ArrayList<>();
        serving.add(new Member(localReport, localReport.getSequence(), nowMillis));
        serving.addAll(alive(nowMillis));
        serving.removeIf(member -> member.report().getPhase() != MemberPhase.MEMBER_SERVING);
        return serving;
    }

    /**
     * Draws from the processes that callers may be sent to; this one is among them when it serves.
     *
     * <p>Callers choose evenly among the names they are given. If a fleet larger than an answer always named the same
     * processes, the rest would get no callers but those that ask them directly.
     *
     * @param nowMillis steady time in milliseconds
     * @param most longest answer
     * @param random draws when there are more
     * @return reports
     */
    public List<MemberReport> sampleServing(long nowMillis, int most, Random random) {
        List<MemberReport> serving = serving(nowMillis);
        if (serving.size() <= most) {
            return serving;
        }
        boolean ownServes = localReport.getPhase() == MemberPhase.MEMBER_SERVING;
        Collections.shuffle(serving.subList(ownServes ? 1 : 0, serving.size()), random);
        return serving.subList(0, most);
    }

    /**
     * Returns which part of the fleet's refill this process and those it hears from may use.
     *
     * <p>Processes that are silent may be down and use nothing, or be cut off and use their part. A little more than
     * the strict part is taken, since most silence is a restart; two halves of a fleet then use a fifth too much
     * together, which is less than what a window of the quota is allowed to exceed it by.
     *
     * @param nowMillis steady time in milliseconds
     * @return share, this process included, above 0 and at most 1
     */
    public double reachableShare(long nowMillis) {
        double strict = (1.0 + alive(nowMillis).size()) / (1.0 + remoteMembers.size());
        return Math.min(1, strict * SHARE_OVERCOMMIT_FACTOR);
    }

    /** Holds what was last heard of one process; signs of life come hundreds of times a second. */
    private static final class Entry {
        private Member member;
    }
}
