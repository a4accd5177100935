package org.whinwharf.traffic.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Membership table: the processes of the fleet, with their latest reports and the age of their heartbeats.
 *
 * <p>A process that stops without notice is detected by the lack of heartbeats, measured on the monotonic clock of the
 * observer, so a jump of any process's wall clock has no effect. If the local process receives a report about an
 * earlier run of itself with a higher incarnation (the wall clock stepped back between the runs), it adopts a still
 * higher incarnation, because peers would otherwise ignore its reports as stale.
 */
public final class MemberTable {
    /**
     * Time without a heartbeat after which a process is suspected and not offered to callers: seven consecutive lost
     * reports.
     */
    public static final long SUSPECT_TIMEOUT_MILLIS = 1_500;
    /** The same for a large fleet, where a heartbeat is forwarded about five times before it reaches every process. */
    public static final long LARGE_FLEET_SUSPECT_TIMEOUT_MILLIS = 3_000;
    /** Number of processes from which a fleet is large; in a smaller fleet, every process reports to every other. */
    public static final int LARGE_FLEET_THRESHOLD = 12;
    /** Time without a heartbeat after which a process is removed: longer than a restart or a short network outage. */
    public static final long EXPIRY_TIMEOUT_MILLIS = 20_000;

    /**
     * Time for which removed processes are remembered, as long as the reachable ones are the minority: longer than most
     * network partitions.
     */
    private static final long LOST_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);
    /** Factor by which the reachable share exceeds the proportional share while processes are suspected. */
    private static final double SHARE_OVERCOMMIT_FACTOR = 1.2;

    private final Map<String, Entry> remoteMembers = new TreeMap<>();
    private final Map<Integer, Entry> entriesByNameDigest = new HashMap<>();
    /** Times in milliseconds at which processes were removed that had not said that they leave, by their names. */
    private final Map<String, Long> lostAtMillis = new HashMap<>();

    /** Times in milliseconds since which processes have been expected but not heard from, by their IP addresses. */
    private final Map<String, Long> expectedSinceMillis = new HashMap<>();

    private MemberReport localReport;

    /**
     * Creates a table that contains only this process.
     *
     * @param localReport this process's first report
     */
    public MemberTable(MemberReport localReport) {
        this.localReport = localReport;
    }

    /**
     * Adds processes that this one has been told of and has not heard from. They count like removed ones: a process
     * that has just started and hears from nobody may be cut off, and does not have the fleet to itself.
     *
     * @param ips IP addresses, without that of this process
     * @param nowMillis monotonic time in milliseconds
     */
    public void expect(Collection<String> ips, long nowMillis) {
        ips.forEach(ip -> expectedSinceMillis.put(ip, nowMillis));
    }

    /**
     * Returns this process's report.
     *
     * @return the latest report
     */
    public MemberReport localReport() {
        return localReport;
    }

    /**
     * Replaces this process's report, keeping its incarnation and incrementing its sequence number.
     *
     * @param next report without incarnation and sequence
     */
    public void updateLocalReport(MemberReport.Builder next) {
        localReport = next.setIncarnation(localReport.getIncarnation())
                .setSequence(localReport.getSequence() + 1)
                .build();
    }

    /**
     * Receives a report.
     *
     * @param report report of a process about itself, received directly or through another process
     * @param nowMillis monotonic time in milliseconds
     * @return true when the report updated the table
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
        boolean stale = report.getIncarnation() < known.report().getIncarnation()
                || report.getSequence() <= known.report().getSequence();
        if (stale) {
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
     * Receives a heartbeat that came without a report.
     *
     * @param heartbeat the heartbeat
     * @param nowMillis monotonic time in milliseconds
     * @return false when the process or its incarnation is unknown
     */
    public boolean receive(MemberHeartbeat heartbeat, long nowMillis) {
        if (heartbeat.nameDigest() == localReport.getName().hashCode()) {
            return true;
        }
        Entry entry = entriesByNameDigest.get(heartbeat.nameDigest());
        if (entry == null || (int) entry.member.report().getIncarnation() != heartbeat.incarnationDigest()) {
            return false;
        }
        Member known = entry.member;
        if (heartbeat.sequence() > known.heartbeatSequence()) {
            MemberReport report = known.report();
            if (report.getPhase() != heartbeat.phase()) {
                report = report.toBuilder().setPhase(heartbeat.phase()).build();
            }
            entry.member = new Member(report, heartbeat.sequence(), nowMillis);
        }
        return true;
    }

    /**
     * Returns the newest heartbeats, starting with this process's own.
     *
     * @param maxCount maximum number of heartbeats
     * @param nowMillis monotonic time in milliseconds
     * @return heartbeats
     */
    public List<MemberHeartbeat> heartbeats(int maxCount, long nowMillis) {
        List<MemberHeartbeat> heartbeats = new ArrayList<>();
        heartbeats.add(toHeartbeat(localReport, localReport.getSequence()));
        List<Member> newestFirst = alive(nowMillis);
        newestFirst.sort((left, right) -> Long.compare(right.receivedAtMillis(), left.receivedAtMillis()));
        for (Member member : newestFirst.subList(0, Math.min(newestFirst.size(), maxCount - 1))) {
            heartbeats.add(toHeartbeat(member.report(), member.heartbeatSequence()));
        }
        return heartbeats;
    }

    private static MemberHeartbeat toHeartbeat(MemberReport report, long sequence) {
        return new MemberHeartbeat(
                report.getName().hashCode(), (int) report.getIncarnation(), sequence, report.getPhase());
    }

    private void put(Member member) {
        String name = member.report().getName();
        Entry entry = remoteMembers.computeIfAbsent(name, key -> new Entry());
        entry.member = member;
        lostAtMillis.remove(name);
        expectedSinceMillis.remove(member.report().getIp());
        entriesByNameDigest.put(name.hashCode(), entry);
    }

    /**
     * Removes processes whose heartbeats have been missing for the expiry timeout. A process that reported that it
     * leaves is removed already after the suspect timeout.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return names of the removed processes
     */
    public List<String> expire(long nowMillis) {
        List<String> expired = new ArrayList<>();
        remoteMembers.values().removeIf(entry -> {
            Member member = entry.member;
            long silenceMillis = nowMillis - member.receivedAtMillis();
            boolean left =
                    member.report().getPhase() == MemberPhase.MEMBER_LEAVING && silenceMillis > SUSPECT_TIMEOUT_MILLIS;
            boolean expire = left || silenceMillis > EXPIRY_TIMEOUT_MILLIS;
            if (expire) {
                expired.add(member.report().getName());
                if (!left) {
                    lostAtMillis.put(member.report().getName(), nowMillis);
                }
                entriesByNameDigest.remove(member.report().getName().hashCode());
            }
            return expire;
        });
        lostAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > LOST_RETENTION_MILLIS);
        expectedSinceMillis.values().removeIf(sinceMillis -> nowMillis - sinceMillis > LOST_RETENTION_MILLIS);
        return expired;
    }

    /**
     * Returns whether this process and those that it reaches are the minority of the fleet that was last known, so that
     * the others may well serve callers too.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true in the smaller part of a partitioned fleet, or after the loss of most of its processes
     */
    public boolean inMinority(long nowMillis) {
        int known = 1 + remoteMembers.size() + lostAtMillis.size() + expectedSinceMillis.size();
        return 2 * (1 + aliveCount(nowMillis)) < known;
    }

    /**
     * Returns the names of all processes that may serve callers: this one, the known ones, suspected ones included,
     * and, in the minority of a fleet, those that were removed.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return names, this process's first
     */
    public List<String> possiblyServingNames(long nowMillis) {
        List<String> names = new ArrayList<>();
        names.add(localReport.getName());
        names.addAll(remoteMembers.keySet());
        if (inMinority(nowMillis)) {
            names.addAll(lostAtMillis.keySet());
            // Their names are not known.
            names.addAll(expectedSinceMillis.keySet());
        }
        return names;
    }

    private int aliveCount(long nowMillis) {
        int count = 0;
        for (Entry entry : remoteMembers.values()) {
            count += isAlive(entry.member, nowMillis) ? 1 : 0;
        }
        return count;
    }

    private boolean isAlive(Member member, long nowMillis) {
        long suspectTimeoutMillis = largeFleet() ? LARGE_FLEET_SUSPECT_TIMEOUT_MILLIS : SUSPECT_TIMEOUT_MILLIS;
        return nowMillis - member.receivedAtMillis() <= suspectTimeoutMillis;
    }

    /**
     * Returns the other processes that are not suspected.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return members, in a new modifiable list
     */
    public List<Member> alive(long nowMillis) {
        List<Member> alive = new ArrayList<>(remoteMembers.size());
        for (Entry entry : remoteMembers.values()) {
            if (isAlive(entry.member, nowMillis)) {
                alive.add(entry.member);
            }
        }
        return alive;
    }

    /**
     * Returns whether the fleet is too large for every process to report to every other directly.
     *
     * @return true in a large fleet
     */
    public boolean largeFleet() {
        return remoteMembers.size() + 1 >= LARGE_FLEET_THRESHOLD;
    }

    /**
     * Returns all other processes, including suspected ones.
     *
     * @return members
     */
    public Collection<Member> all() {
        return remoteMembers.values().stream().map(entry -> entry.member).toList();
    }

    /**
     * Returns the reports of the processes that serve callers, starting with this process if it serves.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return reports
     */
    public List<MemberReport> serving(long nowMillis) {
        return servingMembers(nowMillis).stream().map(Member::report).collect(Collectors.toCollection(ArrayList::new));
    }

    /**
     * Returns the processes that serve callers, starting with this process if it serves.
     *
     * @param nowMillis monotonic time in milliseconds
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
     * Returns the names of the processes that have reported a planned stop, this one included.
     *
     * @return names, in a new set
     */
    public Set<String> leavingNames() {
        Set<String> names = new HashSet<>();
        if (localReport.getPhase() == MemberPhase.MEMBER_LEAVING) {
            names.add(localReport.getName());
        }
        for (Entry entry : remoteMembers.values()) {
            MemberReport report = entry.member.report();
            if (report.getPhase() == MemberPhase.MEMBER_LEAVING) {
                names.add(report.getName());
            }
        }
        return names;
    }

    /**
     * Returns a random sample of the processes that serve callers; it includes this process if it serves.
     *
     * <p>Callers spread evenly over the processes they are given. If an answer too small for the fleet always listed
     * the same processes, the rest would serve only the callers that ask them directly.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param maxCount maximum size of the sample
     * @param random source of randomness, used when more processes serve
     * @return reports
     */
    public List<MemberReport> sampleServing(long nowMillis, int maxCount, Random random) {
        List<MemberReport> serving = serving(nowMillis);
        if (serving.size() <= maxCount) {
            return serving;
        }
        boolean localServes = localReport.getPhase() == MemberPhase.MEMBER_SERVING;
        Collections.shuffle(serving.subList(localServes ? 1 : 0, serving.size()), random);
        return serving.subList(0, maxCount);
    }

    /**
     * Returns a random sample of the processes that serve callers, in proportion to the processor time of their hosts
     * if these differ.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param maxCount maximum size of the sample
     * @param coordinators names of the processes that coordinate services, which are spared if hosts differ
     * @param random source of randomness
     * @return reports
     */
    public List<MemberReport> sampleByCapacity(long nowMillis, int maxCount, Set<String> coordinators, Random random) {
        List<MemberReport> serving = serving(nowMillis);
        return CapacitySample.differ(serving)
                ? CapacitySample.draw(serving, coordinators, maxCount, random)
                : sampleServing(nowMillis, maxCount, random);
    }

    /**
     * Returns the share of the fleet's quota refill that this process and the processes it can reach may use.
     *
     * <p>A suspected process may be down and use nothing, or be on the other side of a network partition and use its
     * share. In the minority of a fleet, the others count beyond their removal. The result is somewhat larger than the
     * proportional share because most suspected processes are restarting. Two halves of a partitioned fleet then exceed
     * the quota by a fifth together, which is less than the tolerance of a quota window.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return share, this process included, above 0 and at most 1
     */
    public double reachableShare(long nowMillis) {
        double proportionalShare =
                (1.0 + aliveCount(nowMillis)) / possiblyServingNames(nowMillis).size();
        return Math.min(1, proportionalShare * SHARE_OVERCOMMIT_FACTOR);
    }

    /** Mutable holder of one member, so that heartbeats, hundreds per second, update no map. */
    private static final class Entry {
        private Member member;
    }
}
