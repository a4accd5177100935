package org.whinwharf.traffic.waiting;

import java.util.TreeMap;
import org.whinwharf.traffic.catalog.TierRank;

/**
 * Lets routes of short requests wait in the rank above their own.
 *
 * <p>Under overload a strict order of routes turns away nearly all requests of the lowest. Where these hold a slot for
 * a tenth of the time of those above them, that gains next to nothing: seven checks have to be refused for one more
 * note. Joined with the rank above, both are turned away in equal shares. Ranks of organisations are never joined.
 */
public final class JoinedRanks {
    /**
     * How many times as long the requests of the rank above hold their slots, at least, for a rank to join it. At four,
     * as many requests of both ranks give the joined one a fifth of the slots; checks and notes in use differ by eight.
     */
    private static final double MIN_HOLD_TIME_RATIO = 4;
    /** Weight of the newest request: the memory is about fifty, so that a few odd ones do not part a rank. */
    private static final double SMOOTHING_FACTOR = 0.02;

    private final TreeMap<Integer, Averages> averagesByRank = new TreeMap<>();

    /** What the requests of one rank are like. */
    private static final class Averages {
        private double holdMillis;
        private double onTimeMillis;

        Averages(double holdMillis, double onTimeMillis) {
            this.holdMillis = holdMillis;
            this.onTimeMillis = onTimeMillis;
        }

        void add(double newHoldMillis, double newOnTimeMillis) {
            holdMillis += (newHoldMillis - holdMillis) * SMOOTHING_FACTOR;
            onTimeMillis += (newOnTimeMillis - onTimeMillis) * SMOOTHING_FACTOR;
        }
    }

    /**
     * Where a request waits.
     *
     * @param rank rank in the waiting line
     * @param onTimeMillis time from its arrival for which it goes before those that are late; the same for all that
     *     wait together, since under overload those with more time would win every slot
     */
    public record Assignment(int rank, long onTimeMillis) {}

    /**
     * Takes a request into the averages of its rank and tells where it waits.
     *
     * @param tierRank joint rank of its organisation and its route
     * @param holdMillis expected time for which it holds a slot
     * @param onTimeMillis time from its arrival within which it may still meet its objective
     * @return its place
     */
    public Assignment assign(int tierRank, double holdMillis, long onTimeMillis) {
        averagesByRank.computeIfAbsent(tierRank, rank -> new Averages(holdMillis, onTimeMillis))
                .add(holdMillis, onTimeMillis);
        Integer above = averagesByRank.lowerKey(tierRank);
        if (joins(tierRank, above)) {
            return new Assignment(above, shorterOnTimeMillis(onTimeMillis, above));
        }
        Integer below = averagesByRank.higherKey(tierRank);
        return new Assignment(tierRank, joins(below, tierRank) ? shorterOnTimeMillis(onTimeMillis, below) : onTimeMillis);
    }

    private boolean joins(Integer rank, Integer above) {
        return rank != null
                && above != null
                && TierRank.sameOrganisationRank(rank, above)
                && averagesByRank.get(above).holdMillis >= averagesByRank.get(rank).holdMillis * MIN_HOLD_TIME_RATIO;
    }

    private long shorterOnTimeMillis(long onTimeMillis, int otherRank) {
        return Math.min(onTimeMillis, Math.round(averagesByRank.get(otherRank).onTimeMillis));
    }
}
