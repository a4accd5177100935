package org.whinwharf.traffic.coordination;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.whinwharf.traffic.placement.Rendezvous;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Ranks the processes that may coordinate a service; all that know the same members rank alike, without a word.
 *
 * <p>Processes that served for a while go first, since one that was just started knows nothing of the load; then those
 * on hosts with more processor time, which answer sooner; then rendezvous hashing spreads the services. Two processes
 * that rank differently for a moment make two coordinators. That costs queues at targets and breaks nothing, since
 * bounds that must hold are kept by every sender.
 */
public final class CoordinatorRanking {
    private CoordinatorRanking() {}

    /**
     * Ranks processes for a service.
     *
     * @param service name of the service
     * @param serving reports of the processes that serve
     * @return reports, the first coordinates and each stands by for those before it
     */
    public static List<MemberReport> rank(String service, Collection<MemberReport> serving) {
        return serving.stream()
                .sorted(Comparator.comparing((MemberReport report) -> !report.getSettled())
                        .thenComparing(report -> -report.getProcessorPercent())
                        .thenComparing(report -> -Rendezvous.weight(report.getName(), service))
                        .thenComparing(MemberReport::getName))
                .toList();
    }
}
