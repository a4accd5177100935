package org.whinwharf.traffic.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.placement.Rendezvous;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Ranks the processes that may coordinate a service. Processes with the same membership view compute the same ranking
 * without communication.
 *
 * <p>Processes that have run for a while rank first, because a process that has just started does not know the load.
 * Next come processes on hosts with more processor time, which answer sooner, then rendezvous hashing distributes the
 * services. Two processes that rank differently for a moment use two coordinators. This causes queues at targets but no
 * errors, because every sender enforces the limits that must hold.
 *
 * <p>The age of a process is taken from its heartbeats, which reach all processes within one or two seconds. In a large
 * fleet, member reports reach each process only about every ten seconds. Ranked by member reports, a restarted fleet
 * split into dozens of coordinators, each of which filled every engine.
 */
public final class CoordinatorRanking {
    /** Number of heartbeats after which a process knows the fleet and its load: five seconds. */
    private static final long SETTLED_HEARTBEATS = 33;
    /**
     * Minimum number of heartbeats by which a process must lag the oldest one to count as just started: three seconds,
     * longer than heartbeats take to propagate. Without this rule, a fleet whose processes all start together would
     * change its coordinator with each process that settles.
     */
    private static final long MIN_LAG_HEARTBEATS = 20;

    private CoordinatorRanking() {}

    /**
     * Ranks processes for a service.
     *
     * @param service name of the service
     * @param serving processes in the serving phase
     * @return member reports in order of rank; the first process coordinates, each other one is a standby for those
     *     before it
     */
    public static List<MemberReport> rank(String service, Collection<Member> serving) {
        long oldest = 0;
        for (Member member : serving) {
            oldest = Math.max(oldest, member.heartbeatSequence());
        }
        long settledHeartbeats = Math.min(SETTLED_HEARTBEATS, oldest - MIN_LAG_HEARTBEATS);
        List<Ranked> ranked = new ArrayList<>(serving.size());
        for (Member member : serving) {
            MemberReport report = member.report();
            long weight = Rendezvous.weight(report.getName(), service);
            ranked.add(new Ranked(report, member.heartbeatSequence() < settledHeartbeats, weight));
        }
        Collections.sort(ranked);
        List<MemberReport> reports = new ArrayList<>(ranked.size());
        for (Ranked each : ranked) {
            reports.add(each.report);
        }
        return reports;
    }

    /** A process with its sort key, so that sorting a large fleet computes the weight of each process only once. */
    private record Ranked(MemberReport report, boolean unsettled, long weight) implements Comparable<Ranked> {
        @Override
        public int compareTo(Ranked other) {
            if (unsettled != other.unsettled) {
                return unsettled ? 1 : -1;
            }
            int byProcessor = Integer.compare(other.report.getProcessorPercent(), report.getProcessorPercent());
            if (byProcessor != 0) {
                return byProcessor;
            }
            int byWeight = Long.compare(other.weight, weight);
            return byWeight != 0 ? byWeight : report.getName().compareTo(other.report.getName());
        }
    }
}
