package org.whinwharf.front;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.traffic.quota.QuotaLedger;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

/** Puts what this process does into its reports, and what others do into its targets and quotas. */
final class FleetStateExchange {
    private final FrontSettings settings;
    private final MemberTable members;
    private final TargetRegistry targets;
    private final QuotaLedger quotas;
    private final ItemFeed feed;
    private final Ticker ticker;
    private boolean remoteLoadsChanged;
    private long aggregatedAtMillis;

    FleetStateExchange(
            FrontSettings settings,
            MemberTable members,
            TargetRegistry targets,
            QuotaLedger quotas,
            ItemFeed feed,
            Ticker ticker) {
        this.settings = settings;
        this.members = members;
        this.targets = targets;
        this.quotas = quotas;
        this.feed = feed;
        this.ticker = ticker;
    }

    /**
     * Makes this process's next report.
     *
     * @param phase what the process does
     */
    void updateLocalReport(MemberPhase phase) {
        MemberReport.Builder report = MemberReport.newBuilder()
                .setName(settings.name())
                .setIp(settings.ip())
                .setCallerAddress(settings.callerAddress())
                .setDataCentre(settings.dataCentre())
                .setPhase(phase)
                .setRevision(feed.revision())
                .setWatching(feed.watchHealthy())
                .setProcessorPercent(settings.processorPercent());
        for (TargetEntry entry : targets.all()) {
            // In a large fleet this news is too old to place requests by; a coordinator has the counts there.
            if (entry.state().ownRunning() > 0 && !members.large()) {
                report.addUsesBuilder()
                        .setTargetDigest(entry.state().target().digest())
                        .setRunning(entry.state().ownRunning())
                        .setPrefillTokens((int) entry.state().ownPrefillTokens());
            }
        }
        quotas.admittedTotals()
                .forEach((digest, total) ->
                        report.addQuotasBuilder().setOrganisationDigest(digest).setAdmittedTotal(total));
        members.report(report);
    }

    /** Takes what another process admitted and has under way. */
    void applyReport(MemberReport report) {
        remoteLoadsChanged = true;
        feed.reportReceived(report);
        report.getQuotasList()
                .forEach(use -> quotas.heard(
                        report.getName(),
                        report.getIncarnation(),
                        use.getOrganisationDigest(),
                        use.getAdmittedTotal(),
                        ticker.nowMillis()));
    }

    /** Sums up the requests of all others at each target. */
    void updateRemoteLoads(long nowMillis) {
        long pauseMillis = remoteLoadsChanged && !members.large() ? 0 : MemberTable.SILENT_MILLIS;
        if (nowMillis - aggregatedAtMillis < pauseMillis) {
            return;
        }
        remoteLoadsChanged = false;
        aggregatedAtMillis = nowMillis;
        Map<Integer, int[]> uses = new HashMap<>();
        for (Member member : members.alive(nowMillis)) {
            member.report().getUsesList().forEach(use -> {
                int[] sums = uses.computeIfAbsent(use.getTargetDigest(), digest -> new int[2]);
                sums[0] += use.getRunning();
                sums[1] += use.getPrefillTokens();
            });
        }
        int[] none = new int[2];
        for (TargetEntry entry : targets.all()) {
            int[] sums = uses.getOrDefault(entry.state().target().digest(), none);
            entry.state().others(sums[0], sums[1]);
        }
    }
}
