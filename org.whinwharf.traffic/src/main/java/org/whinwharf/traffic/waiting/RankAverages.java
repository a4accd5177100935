package org.whinwharf.traffic.waiting;

import java.util.Optional;
import java.util.TreeMap;

/** Exponential moving averages over the requests of each rank, and reports of their lasting changes. */
public final class RankAverages {
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

    /**
     * Creates an instance without averages.
     *
     * @param listener listener for lasting changes of an average hold time
     */
    public RankAverages(HoldTimeListener listener) {
        this.listener = listener;
    }

    /** The averages of one rank. */
    private static final class Averages {
        private double holdMillis;
        private double onTimeMillis;
        private double reportedHoldMillis;
        private int requestsSinceReport;

        Averages(double holdMillis, double onTimeMillis) {
            this.holdMillis = holdMillis;
            this.onTimeMillis = onTimeMillis;
        }

        void add(double newHoldMillis, double newOnTimeMillis) {
            holdMillis += (newHoldMillis - holdMillis) * SMOOTHING_FACTOR;
            onTimeMillis += (newOnTimeMillis - onTimeMillis) * SMOOTHING_FACTOR;
            requestsSinceReport++;
        }

        boolean changedSinceReport() {
            double ratio = holdMillis / reportedHoldMillis;
            return requestsSinceReport >= MIN_REQUESTS_TO_REPORT
                    && (ratio >= MIN_REPORTED_CHANGE || ratio <= 1 / MIN_REPORTED_CHANGE);
        }
    }

    /**
     * Adds a request to the averages of its rank.
     *
     * @param tierRank combined rank of the organisation and the route
     * @param holdMillis expected time for which the request holds a slot
     * @param onTimeMillis time from arrival within which the request can still meet its objective
     */
    public void add(int tierRank, double holdMillis, long onTimeMillis) {
        Averages averages = averagesByRank.computeIfAbsent(tierRank, rank -> new Averages(holdMillis, onTimeMillis));
        averages.add(holdMillis, onTimeMillis);
        if (averages.changedSinceReport()) {
            listener.holdTimeChanged(tierRank, averages.reportedHoldMillis, averages.holdMillis);
            averages.reportedHoldMillis = averages.holdMillis;
            averages.requestsSinceReport = 0;
        }
    }

    /**
     * Returns the average hold time of a rank.
     *
     * @param tierRank rank of which a request was added
     * @return time in milliseconds
     */
    public double holdMillis(int tierRank) {
        return averagesByRank.get(tierRank).holdMillis;
    }

    /**
     * Returns the average time from arrival within which requests of a rank can meet their objective.
     *
     * @param tierRank rank of which a request was added
     * @return time in milliseconds
     */
    public double onTimeMillis(int tierRank) {
        return averagesByRank.get(tierRank).onTimeMillis;
    }

    /**
     * Compares the hold time of a request with the average of its rank.
     *
     * @param tierRank rank of which a request was added
     * @param holdMillis expected time for which the request holds a slot
     * @return ratio; 1 for a request of average length
     */
    public double holdTimeRatio(int tierRank, double holdMillis) {
        double averageMillis = holdMillis(tierRank);
        return averageMillis <= 0 ? 1 : holdMillis / averageMillis;
    }

    /**
     * Returns the next higher rank of which a request was added.
     *
     * @param tierRank rank
     * @return rank that is served before the given one; empty if there is none
     */
    public Optional<Integer> rankAbove(int tierRank) {
        return Optional.ofNullable(averagesByRank.lowerKey(tierRank));
    }

    /**
     * Returns the next lower rank of which a request was added.
     *
     * @param tierRank rank
     * @return rank that is served after the given one; empty if there is none
     */
    public Optional<Integer> rankBelow(int tierRank) {
        return Optional.ofNullable(averagesByRank.higherKey(tierRank));
    }
}
