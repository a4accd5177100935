package org.whinwharf.front;

import java.util.List;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Decides whether this process watches the publishing service itself, and how often.
 *
 * <p>In a large fleet only a few processes of each data centre do, because the read capacity of the service grows more
 * slowly than the fleet.
 */
final class WatcherRole {
    /**
     * Pause between watches of the first watcher of a data centre, during which changes are coalesced. In a large
     * fleet, engines change their entries many times a second, and each change ends a watch; coalescing them reduces
     * the number of calls to a third. The strictest time limit for applying a change, two seconds for a departing
     * target, is ten times as long.
     */
    private static final long COALESCE_MILLIS = 200;
    /**
     * The same pause of the other watchers after a change. They receive most changes from the first one, and watch to
     * be in touch when it is cut off or leaves.
     */
    private static final long STANDBY_COALESCE_MILLIS = 600;
    /** Fleet size up to which every process watches the service. */
    private static final int SMALL_FLEET_LIMIT = 12;
    /** Watchers in each data centre of a larger fleet: one may fail while another is being replaced. */
    private static final int WATCHERS_PER_DATA_CENTRE = 3;
    /** Age beyond which items are stale: longer than a watch, the interval after it and a poll of a peer together. */
    private static final long STALE_THRESHOLD_MILLIS = 4_750;
    /** Delay between the takeovers of successive processes; longer than a first answer takes to reach the next one. */
    private static final long TAKE_OVER_STAGGER_MILLIS = 500;
    /** Time for which a process watches after a takeover. */
    private static final long TAKE_OVER_DURATION_MILLIS = 10_000;

    private final FrontSettings settings;
    private final MemberTable members;
    private final Ticker ticker;
    private long takenOverUntilMillis = Long.MIN_VALUE;

    WatcherRole(FrontSettings settings, MemberTable members, Ticker ticker) {
        this.settings = settings;
        this.members = members;
        this.ticker = ticker;
    }

    /** Returns true for the first processes of the data centre by name, in a small fleet, and after a takeover. */
    boolean shouldWatch() {
        return ticker.nowMillis() < takenOverUntilMillis || watchRank() < WATCHERS_PER_DATA_CENTRE;
    }

    /**
     * Returns the pause after a watch before the next one begins, in milliseconds.
     *
     * @param changed true if the watch returned changes; after one that expired, peers are about to take the items for
     *     stale
     */
    long pauseMillis(boolean changed) {
        boolean standby = rankInDataCentre(members.alive(ticker.nowMillis())) > 0;
        return changed && standby ? STANDBY_COALESCE_MILLIS : COALESCE_MILLIS;
    }

    /**
     * Starts to watch when the items are stale, because all designated watchers may be cut off from the service. The
     * other processes take over one after the other by rank, until one of them gets an answer.
     *
     * @param ageMillis age of the items in milliseconds
     */
    void takeOverIfStale(long ageMillis) {
        if (ageMillis <= STALE_THRESHOLD_MILLIS) {
            return;
        }
        int position = Math.max(0, watchRank() - WATCHERS_PER_DATA_CENTRE);
        if (ageMillis > STALE_THRESHOLD_MILLIS + position * TAKE_OVER_STAGGER_MILLIS) {
            takenOverUntilMillis = ticker.nowMillis() + TAKE_OVER_DURATION_MILLIS;
        }
    }

    /** Returns the rank in the data centre; 0 in a small fleet, where every process watches. */
    private int watchRank() {
        List<Member> alive = members.alive(ticker.nowMillis());
        return alive.size() < SMALL_FLEET_LIMIT ? 0 : rankInDataCentre(alive);
    }

    /**
     * Returns how many live processes of this data centre precede this one by name. Those that leave do not count, so
     * that their successors watch before they end.
     */
    private int rankInDataCentre(List<Member> alive) {
        int rank = 0;
        for (Member member : alive) {
            MemberReport report = member.report();
            boolean sameDataCentre = report.getDataCentre().equals(settings.dataCentre());
            boolean leaving = report.getPhase() == MemberPhase.MEMBER_LEAVING;
            if (sameDataCentre && !leaving && report.getName().compareTo(settings.name()) < 0) {
                rank++;
            }
        }
        return rank;
    }
}
