package org.whinwharf.front;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.TargetUse;

/**
 * Exchanges load and quota use with the other members of the fleet.
 *
 * <p>Writes the local state into this process's report, and applies the reports of other members to the local targets
 * and quotas.
 */
final class FleetStateExchange {
    /** Number of organisations whose unchanged totals a report of a small fleet repeats, since reports may be lost. */
    private static final int REPEATED_TOTALS = 24;
    /**
     * The same in a large fleet, in which each process serves fewer organisations and coordinators read many reports.
     */
    private static final int LARGE_FLEET_REPEATED_TOTALS = 8;

    /** Maximum number of targets in use that a report names, those with most requests: some 5 KB. */
    static final int MAX_USES = 400;

    private final FrontSettings settings;
    private final MemberTable members;
    private final TargetRegistry targets;
    private final QuotaLedger quotas;
    private final ItemFeed feed;
    private final StatedRateTracker statedRates;
    private final StreamEndTracker streamEnds;
    private final Ticker ticker;
    private boolean remoteLoadsChanged;
    private long aggregatedAtMillis;

    FleetStateExchange(
            FrontSettings settings,
            MemberTable members,
            TargetRegistry targets,
            QuotaLedger quotas,
            ItemFeed feed,
            StatedRateTracker statedRates,
            StreamEndTracker streamEnds,
            Ticker ticker) {
        this.settings = settings;
        this.members = members;
        this.targets = targets;
        this.quotas = quotas;
        this.feed = feed;
        this.statedRates = statedRates;
        this.streamEnds = streamEnds;
        this.ticker = ticker;
    }

    /**
     * Builds the next report of this process.
     *
     * @param phase phase of this process
     * @param sent false if the report is not sent now; it says nothing of quotas then
     */
    void updateLocalReport(MemberPhase phase, boolean sent) {
        MemberReport.Builder report = MemberReport.newBuilder()
                .setName(settings.name())
                .setIp(settings.ip())
                .setCallerAddress(settings.callerAddress())
                .setDataCentre(settings.dataCentre())
                .setPhase(phase)
                .setRevision(feed.revision())
                .setWatching(feed.watchHealthy())
                .setProcessorPercent(settings.processorPercent())
                .setRelayPort(settings.relayPort())
                .setPartitioned(targets.paths().partitioned());
        // Large fleets propagate reports too slowly for placement decisions; there the coordinator keeps these counts.
        if (!members.largeFleet()) {
            report.addAllUses(mostUsed(localUses()));
            streamEnds.addTo(report);
        }
        if (sent) {
            quotas.nextReport(members.largeFleet() ? LARGE_FLEET_REPEATED_TOTALS : REPEATED_TOTALS, ticker.nowMillis())
                    .forEach(entry -> report.addQuotasBuilder()
                            .setOrganisationDigest(entry.organisationDigest())
                            .setAdmittedTotal(entry.admittedTotal())
                            .setReportedTotal(entry.reportedTotal()));
        }
        statedRates.addTo(report);
        members.updateLocalReport(report);
    }

    private List<TargetUse> localUses() {
        List<TargetUse> uses = new ArrayList<>();
        for (TargetEntry entry : targets.all()) {
            if (entry.state().localInFlight() > 0) {
                uses.add(TargetUse.newBuilder()
                        .setTargetDigest(entry.state().target().digest())
                        .setRunning(entry.state().localInFlight())
                        .setPrefillTokens((int) entry.state().localPrefillTokens())
                        .build());
            }
        }
        return uses;
    }

    /** Returns the uses that fit into a report. */
    static List<TargetUse> mostUsed(List<TargetUse> uses) {
        return uses.size() <= MAX_USES
                ? uses
                : uses.stream()
                        .sorted(Comparator.comparingInt(TargetUse::getRunning).reversed())
                        .limit(MAX_USES)
                        .toList();
    }

    /** Applies another member's report: its admitted quota totals at once, its load at the next aggregation. */
    void applyReport(MemberReport report) {
        remoteLoadsChanged = true;
        statedRates.applyReport(report);
        feed.reportReceived(report);
        report.getQuotasList()
                .forEach(quota -> quotas.receiveTotal(
                        report.getName(),
                        report.getIncarnation(),
                        quota.getOrganisationDigest(),
                        quota.getAdmittedTotal(),
                        quota.hasReportedTotal() ? OptionalLong.of(quota.getReportedTotal()) : OptionalLong.empty(),
                        ticker.nowMillis()));
    }

    /**
     * Recomputes the load that the other members put on each target.
     *
     * <p>A small fleet recomputes it whenever a report arrived; otherwise it is recomputed once per silence interval.
     *
     * @param nowMillis monotonic clock in milliseconds
     */
    void updateRemoteLoads(long nowMillis) {
        long intervalMillis = remoteLoadsChanged && !members.largeFleet() ? 0 : MemberTable.SUSPECT_TIMEOUT_MILLIS;
        if (nowMillis - aggregatedAtMillis < intervalMillis) {
            return;
        }
        remoteLoadsChanged = false;
        aggregatedAtMillis = nowMillis;
        Map<Integer, int[]> loadsByTarget = new HashMap<>();
        for (Member member : members.alive(nowMillis)) {
            member.report().getUsesList().forEach(load -> {
                int[] sums = loadsByTarget.computeIfAbsent(load.getTargetDigest(), digest -> new int[2]);
                sums[0] += load.getRunning();
                sums[1] += load.getPrefillTokens();
            });
        }
        int[] noLoad = new int[2];
        for (TargetEntry entry : targets.all()) {
            int[] sums = loadsByTarget.getOrDefault(entry.state().target().digest(), noLoad);
            entry.state().updateRemoteLoad(sums[0], sums[1]);
        }
    }
}
