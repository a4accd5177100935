package org.whinwharf.traffic.waiting;

import java.util.Optional;
import org.whinwharf.traffic.catalog.TierRank;

/**
 * Queues the requests of routes with short requests in the next higher rank.
 *
 * <p>Under overload, strict priority rejects nearly all requests of the lowest route. If these hold a slot for a tenth
 * of the time of the requests ranked above them, this frees almost no capacity: seven checks are rejected for one more
 * note. Queued in the same rank, both are rejected in equal shares. Ranks of organisations are never joined.
 */
public final class JoinedRanks {
    /**
     * Minimum ratio of slot hold times for a rank to join the one above. At a ratio of four and equal request rates,
     * the joined rank uses a fifth of the slots. The hold times of notes and checks in production differ by a factor of
     * eight.
     */
    private static final double MIN_HOLD_TIME_RATIO = 4;

    private final RankAverages averages;

    /** Creates an instance without averages. */
    public JoinedRanks() {
        this(new RankAverages(HoldTimeListener.NONE));
    }

    /**
     * Creates an instance.
     *
     * @param averages averages by which ranks are joined, and to which the assigned requests are added
     */
    public JoinedRanks(RankAverages averages) {
        this.averages = averages;
    }

    /**
     * Position of a request in the queue.
     *
     * @param rank rank in the queue
     * @param onTimeMillis time from arrival for which the request counts as on time and precedes late ones. Joined
     *     ranks share one value, because under overload the requests with more time would take every slot.
     */
    public record Assignment(int rank, long onTimeMillis) {}

    /**
     * Adds a request to the averages of its rank and assigns it a position in the queue.
     *
     * @param tierRank combined rank of the organisation and the route
     * @param holdMillis expected time for which the request holds a slot
     * @param onTimeMillis time from arrival within which the request can still meet its objective
     * @return position in the queue
     */
    public Assignment assign(int tierRank, double holdMillis, long onTimeMillis) {
        averages.add(tierRank, holdMillis, onTimeMillis);
        Optional<Integer> above = averages.rankAbove(tierRank).filter(rank -> joins(tierRank, rank));
        if (above.isPresent()) {
            return new Assignment(above.get(), shorterOnTimeMillis(onTimeMillis, above.get()));
        }
        Optional<Integer> joined = averages.rankBelow(tierRank).filter(rank -> joins(rank, tierRank));
        return new Assignment(
                tierRank,
                joined.map(rank -> shorterOnTimeMillis(onTimeMillis, rank)).orElse(onTimeMillis));
    }

    private boolean joins(int rank, int above) {
        return TierRank.sameOrganisationRank(rank, above)
                && averages.holdMillis(above) >= averages.holdMillis(rank) * MIN_HOLD_TIME_RATIO;
    }

    private long shorterOnTimeMillis(long onTimeMillis, int otherRank) {
        return Math.min(onTimeMillis, Math.round(averages.onTimeMillis(otherRank)));
    }
}
