package org.whinwharf.owner.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.whinwharf.owner.Timings;

/**
 * Estimates how many requests in flight at a target were not granted by this owner, from delayed load readings.
 *
 * <p>A reading also counts this owner's requests, and the owner cannot tell which of them had arrived when the reading
 * was taken. The upper bound subtracts only those that had certainly arrived. While this owner holds a pledge, no other
 * owner can add requests under it, so the bound of an old reading remains valid and the smallest bound of the last
 * readings is used. A reading that is older than a pledge says nothing about requests granted before the pledge.
 */
final class ForeignLoadEstimator {
    private static final int MAX_READINGS = 16;
    private static final int MAX_ENDED = 256;

    private final Deque<Bound> bounds = new ArrayDeque<>();
    private final Deque<Ended> endedRequests = new ArrayDeque<>();
    private Bound tightest;

    void reset() {
        bounds.clear();
        endedRequests.clear();
        tightest = null;
    }

    void addReading(LoadReading reading, List<Slot> slots, Timings timings) {
        bounds.addLast(new Bound(reading));
        if (bounds.size() > MAX_READINGS) {
            keepTightest(bounds.removeFirst());
        }
        long oldestMillis = bounds.getFirst().reading.earliestMillis();
        endedRequests.removeIf(end -> end.endedAtMillis() < oldestMillis);
        for (Bound bound : bounds) {
            bound.count(slots, endedRequests, timings);
        }
    }

    void addEnded(Slot slot, long totalMillis, boolean sent, long nowMillis) {
        endedRequests.addLast(new Ended(slot.grantedAtMillis(), nowMillis, totalMillis, sent));
        if (endedRequests.size() > MAX_ENDED) {
            endedRequests.removeFirst();
        }
    }

    /** Adds requests that were counted as this owner's and whose end it will never learn of. */
    void addAbandoned(int count) {
        bounds.forEach(bound -> bound.abandoned += count);
        if (tightest != null) {
            tightest.abandoned += count;
        }
    }

    int upperBound(int limit, UsableShare share) {
        int smallest = tightest == null ? Integer.MAX_VALUE : tightest.currentBound(limit, share);
        for (Bound bound : bounds) {
            smallest = Math.min(smallest, bound.currentBound(limit, share));
        }
        return smallest;
    }

    /** Returns how many requests in the last reading cannot have been granted by this owner. */
    int lowerBound(LoadReading last, int takenSlots) {
        int maxOwnRequests = takenSlots;
        for (Ended end : endedRequests) {
            if (end.endedAtMillis() >= last.earliestMillis()) {
                maxOwnRequests++;
            }
        }
        return Math.max(0, last.total() - maxOwnRequests);
    }

    private void keepTightest(Bound bound) {
        if (tightest == null || bound.total() <= tightest.total()) {
            tightest = bound;
        }
    }

    private record Ended(long grantedAtMillis, long endedAtMillis, long totalMillis, boolean sent) {
        // The home measured how long the request ran. So the request was sent at least that long before its end was
        // reported, and it ended at least that long after its grant.
        boolean wasInFlightAt(LoadReading reading, Timings timings) {
            long minRunMillis = timings.lowerBoundMillis(totalMillis);
            return sent
                    && endedAtMillis - minRunMillis + Timings.MAX_TRANSIT_MILLIS <= reading.earliestMillis()
                    && reading.latestMillis() <= grantedAtMillis + minRunMillis;
        }
    }

    private static final class Bound {
        private final LoadReading reading;
        private int foreign;
        private int abandoned;

        Bound(LoadReading reading) {
            this.reading = reading;
            this.foreign = reading.total();
        }

        void count(List<Slot> slots, Deque<Ended> ended, Timings timings) {
            int ownRequests = 0;
            for (Slot slot : slots) {
                if (slot.latestArrivalMillis() <= reading.earliestMillis()) {
                    ownRequests++;
                }
            }
            for (Ended end : ended) {
                if (end.wasInFlightAt(reading, timings)) {
                    ownRequests++;
                }
            }
            // A request once known to be this owner's stays subtracted, also after it has ended and is no longer
            // counted.
            foreign = Math.min(foreign, Math.max(0, reading.total() - ownRequests));
        }

        int total() {
            return foreign + abandoned;
        }

        // Since the reading, other owners may have granted the slots that this owner could not use at that time.
        int currentBound(int limit, UsableShare share) {
            int usable = share.usableSlots(limit, reading.earliestMillis());
            return usable <= 0 ? Integer.MAX_VALUE : Math.max(total(), limit - usable);
        }
    }
}
