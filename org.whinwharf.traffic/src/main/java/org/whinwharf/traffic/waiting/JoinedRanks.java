package org.whinwharf.traffic.waiting;

import java.util.TreeMap;
import org.whinwharf.traffic.catalog.TierRank;

/**
 * Queues the requests of routes with short requests in the next higher rank.
 *
 * <p>Under overload, strict priority rejects nearly all requests of the lowest route. If these hold a slot for a tenth
 * of the time of the requests ranked above them, this frees almost no capacity: seven checks are rejected for one more
 * note. Queued in the same rank, both are rejected in equal shares. Ranks of organisations are never joined.
 *
 * <p>The average hold times on which this is based also tell which requests are short for their rank.
 */
public final class JoinedRanks {
    /**
     * Minimum ratio of slot hold times for a rank to join the one above. At a ratio of four and equal request rates,
     * the joined rank uses a fifth of the slots. The hold times of notes and checks in production differ by a factor of
     * eight.
     */
    private static final double MIN_HOLD_TIME_RATIO = 4;
    /**
     * Weight of the newest request. Averages span about fifty requests, so that a few outliers do not separate ranks.
     */
    private static final double SMOOTHING_FACTOR = 0.02;

    /** Number of requests after which an average is reported: enough for it to represent the work. */
    private static final int MIN_REQUESTS_TO_REPORT = 100;
    /** Ratio to the average reported last from which a change is reported, so that variations are not. */
    private static final double MIN_REPORTED_CHANGE = 1.5;

    private final TreeMap<Integer, Averages> averagesByRank = new TreeMap<>();
    private final HoldTimeListener listener;

    /** Creates an instance without averages. */
    public JoinedRanks() {
        this(HoldTimeListener.NONE);
    }

    /**
     * Creates an instance without averages.
     *
     * @param listener listener for lasting changes of an average hold time
     */
    public JoinedRanks(HoldTimeListener listener) {
        this.listener = listener;
    }

    /** Exponential moving averages over the requests of one rank. */
    private static final class Averages {
        private double holdMillis;
        private double onTimeMillis;
        private double reportedHoldMillis;
        private int requests;

        Averages(double holdMillis, double onTimeMillis) {
            this.holdMillis = holdMillis;
            this.onTimeMillis = onTimeMillis;
        }

        void add(double newHoldMillis, double newOnTimeMillis) {
            holdMillis += (newHoldMillis - holdMillis) * SMOOTHING_FACTOR;
            onTimeMillis += (newOnTimeMillis - onTimeMillis) * SMOOTHING_FACTOR;
            requests++;
        }

        boolean changedSinceReport() {
            double ratio = holdMillis / reportedHoldMillis;
            return requests >= MIN_REQUESTS_TO_REPORT
                    && (ratio >= MIN_REPORTED_CHANGE || ratio <= 1 / MIN_REPORTED_CHANGE);
        }
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
        Averages averages = averagesByRank.computeIfAbsent(tierRank, rank -> new Averages(holdMillis, onTimeMillis));
        averages.add(holdMillis, onTimeMillis);
        if (averages.changedSinceReport()) {
            listener.holdTimeChanged(tierRank, averages.reportedHoldMillis, averages.holdMillis);
            averages.reportedHoldMillis = averages.holdMillis;
            averages.requests = 0;
        }
        Integer above = averagesByRank.lowerKey(tierRank);
        if (joins(tierRank, above)) {
            return new Assignment(above, shorterOnTimeMillis(onTimeMillis, above));
        }
        Integer below = averagesByRank.higherKey(tierRank);
        return new Assignment(
                tierRank, joins(below, tierRank) ? shorterOnTimeMillis(onTimeMillis, below) : onTimeMillis);
    }

    /**
     * Compares the hold time of a request with the average of its rank.
     *
     * @param tierRank rank for which {@link #assign} was called
     * @param holdMillis expected time for which the request holds a slot
     * @return ratio; 1 for a request of average length
     */
    public double holdTimeRatio(int tierRank, double holdMillis) {
        Averages averages = averagesByRank.get(tierRank);
        return averages == null || averages.holdMillis <= 0 ? 1 : holdMillis / averages.holdMillis;
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
