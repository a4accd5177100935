package org.whinwharf.traffic.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.placement.Rendezvous;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Ranks the processes that may coordinate a service; all that know the same members rank alike, without a word.
 *
 * <p>Processes that have run for a while go first, since one that was just started knows nothing of the load; then
 * those on hosts with more processor time, which answer sooner; then rendezvous hashing spreads the services. Two
 * processes that rank differently for a moment make two coordinators. That costs queues at targets and breaks nothing,
 * since bounds that must hold are kept by every sender.
 *
 * <p>How long a process has run is told by its signs of life, which reach everyone within a second or two. Its reports
 * reach each other process of a large fleet only every ten seconds or so; ranked by what they say, a fleet that had
 * just been restarted fell apart into dozens of coordinators, each of which filled every engine.
 */
public final class CoordinatorRanking {
    /** Signs of life after which a process knows the fleet and its load: five seconds' worth. */
    private static final long SETTLED_HEARTBEATS = 33;
    /**
     * Signs of life by which a process must be behind the oldest to count as just started: three seconds' worth, more
     * than news takes. Without it, a fleet whose processes all started together would change its coordinator with each
     * one that settles.
     */
    private static final long MIN_LAG_HEARTBEATS = 20;

    private CoordinatorRanking() {}

    /**
     * Ranks processes for a service.
     *
     * @param service name of the service
     * @param serving the processes that serve
     * @return reports, the first coordinates and each stands by for those before it
     */
    public static List<MemberReport> rank(String service, Collection<Member> serving) {
        long oldest = 0;
        for (Member member : serving) {
            oldest = Math.max(oldest, member.beatSequence());
        }
        long settledBeats = Math.min(SETTLED_HEARTBEATS, oldest - MIN_LAG_HEARTBEATS);
        List<Ranked> ranked = new ArrayList<>(serving.size());
        for (Member member : serving) {
            MemberReport report = member.report();
            long weight = Rendezvous.weight(report.getName(), service);
            ranked.add(new Ranked(report, member.beatSequence() < settledBeats, weight));
        }
        Collections.sort(ranked);
        List<MemberReport> reports = new ArrayList<>(ranked.size());
        for (Ranked each : ranked) {
            reports.add(each.report);
        }
        return reports;
    }

    /** A process with what it is ranked by, so that a sort of a large fleet weighs each process once. */
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
