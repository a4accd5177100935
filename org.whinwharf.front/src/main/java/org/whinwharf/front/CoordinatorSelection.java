package org.whinwharf.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.coordination.CoordinatorRanking;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.MemberReport;

/** Ranks the processes that may coordinate services, and skips those that did not reply a short time ago. */
final class CoordinatorSelection {
    /** Time for which a silent coordinator is skipped: about as long as a restart takes. */
    private static final long SILENT_COORDINATOR_SKIP_MILLIS = 2_000;
    /** Age up to which a ranking is reused; ranking 90 processes for each request would cost more than the request. */
    private static final long MAX_RANKING_AGE_MILLIS = 100;

    private final String localName;
    private final MemberTable members;
    private final Ticker ticker;
    private final Map<String, Long> skippedUntilMillis = new HashMap<>();
    private final Map<String, List<MemberReport>> rankings = new HashMap<>();
    /** Ranks of this process, by service, among all processes that are heard from. */
    private final Map<String, Integer> localRanks = new HashMap<>();

    private long rankedAtMillis;

    CoordinatorSelection(String localName, MemberTable members, Ticker ticker) {
        this.localName = localName;
        this.members = members;
        this.ticker = ticker;
    }

    /** Returns the processes that may coordinate a service in order of rank, without those that are skipped. */
    List<MemberReport> ranking(String service) {
        long nowMillis = ticker.nowMillis();
        expireRankings(nowMillis);
        return rankings.computeIfAbsent(service, name -> rank(name, nowMillis));
    }

    private List<MemberReport> rank(String service, long nowMillis) {
        skippedUntilMillis.values().removeIf(endMillis -> nowMillis >= endMillis);
        List<Member> serving = members.servingMembers(nowMillis).stream()
                .filter(member ->
                        !skippedUntilMillis.containsKey(member.report().getName()))
                .toList();
        return CoordinatorRanking.rank(service, serving);
    }

    /** Skips a process that did not reply for a while. */
    void skip(String name) {
        skippedUntilMillis.put(name, ticker.nowMillis() + SILENT_COORDINATOR_SKIP_MILLIS);
        rankings.clear();
    }

    /**
     * Returns how many processes rank before this one as coordinators of a service, those included that are skipped
     * because they did not reply.
     */
    int localRank(String service) {
        long nowMillis = ticker.nowMillis();
        expireRankings(nowMillis);
        return localRanks.computeIfAbsent(service, name -> {
            List<String> ranked = CoordinatorRanking.rank(name, members.servingMembers(nowMillis)).stream()
                    .map(MemberReport::getName)
                    .toList();
            int rank = ranked.indexOf(localName);
            return rank < 0 ? ranked.size() : rank;
        });
    }

    private void expireRankings(long nowMillis) {
        if (nowMillis - rankedAtMillis >= MAX_RANKING_AGE_MILLIS) {
            rankedAtMillis = nowMillis;
            rankings.clear();
            localRanks.clear();
        }
    }
}
