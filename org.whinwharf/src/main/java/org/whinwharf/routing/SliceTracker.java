package org.whinwharf.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.message.SliceStatus;
import org.whinwharf.wire.message.TierWait;

/**
 * Tracks the status of slices as their owners report it, the waits that this host observes, and the slice that each
 * prompt prefix was last sent to.
 */
public final class SliceTracker {
    /** Estimated wait, in milliseconds, of a slice without a recent report. */
    public static final long UNKNOWN_WAIT_MILLIS = 100;

    private static final long MAX_AGE_MILLIS = 2_000;
    private static final int MAX_PREFIXES = 4_096;

    private final Map<SliceId, Report> reports = new HashMap<>();
    private final Map<SliceId, Stall> stalls = new HashMap<>();
    private final Map<SliceId, Integer> queuedSinceReport = new HashMap<>();
    private final Map<Long, SliceId> sliceOfPrefix = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, SliceId> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /**
     * Stores the status that an owner reports for its slice.
     *
     * @param status the reported status
     * @param nowMillis time at which it was received
     */
    public void updateStatus(SliceStatus status, long nowMillis) {
        reports.put(status.getSlice(), new Report(status, nowMillis));
        queuedSinceReport.remove(status.getSlice());
    }

    /**
     * Records that this host queued a request at a slice, which reduces the available slots of the last report.
     *
     * @param slice the slice
     */
    public void recordQueued(SliceId slice) {
        queuedSinceReport.merge(slice, 1, Integer::sum);
    }

    /**
     * Records that a request of this host still waits for a grant at a slice.
     *
     * @param slice the slice
     * @param waitedMillis time that it has waited, in milliseconds
     * @param nowMillis current time of the monotonic clock, in milliseconds
     */
    public void recordStall(SliceId slice, long waitedMillis, long nowMillis) {
        stalls.put(slice, new Stall(waitedMillis, nowMillis));
    }

    /**
     * Records that a slice granted a request of this host.
     *
     * @param slice the slice
     */
    public void recordGrant(SliceId slice) {
        stalls.remove(slice);
    }

    /**
     * Records that a prompt was sent to a slice.
     *
     * @param request the request
     * @param slice the slice
     */
    public void recordDispatch(RoutingRequest request, SliceId slice) {
        request.prefixes().forEach(prefix -> sliceOfPrefix.put(prefix, slice));
    }

    /**
     * Returns the estimated wait at a slice.
     *
     * @param slice the slice
     * @param tierRank rank of the caller's tier
     * @param nowMillis current time of the monotonic clock, in milliseconds
     * @return milliseconds; at least {@link #UNKNOWN_WAIT_MILLIS} when the report is stale
     */
    public long estimatedWaitMillis(SliceId slice, int tierRank, long nowMillis) {
        Report report = reports.get(slice);
        long observedMillis = observedStallMillis(slice, nowMillis);
        if (report == null) {
            return Math.max(observedMillis, UNKNOWN_WAIT_MILLIS);
        }
        long waitMillis = Math.max(observedMillis, report.waitMillis(tierRank));
        // A stale report of a free slice would direct the requests of all hosts to that slice.
        return isFresh(report, nowMillis) ? waitMillis : Math.max(waitMillis, UNKNOWN_WAIT_MILLIS);
    }

    /**
     * Tells whether a slice is expected to serve a tier within a time.
     *
     * @param slice the slice
     * @param tierRank rank of the caller's tier
     * @param maxWaitMillis the time, in milliseconds
     * @param nowMillis current time of the monotonic clock, in milliseconds
     * @return true when a recent report and the waits observed by this host say so
     */
    public boolean servesWithin(SliceId slice, int tierRank, long maxWaitMillis, long nowMillis) {
        Report report = reports.get(slice);
        boolean known =
                report != null && isFresh(report, nowMillis) && report.status().getUsableTargets() > 0;
        return known && estimatedWaitMillis(slice, tierRank, nowMillis) < maxWaitMillis;
    }

    /**
     * Tells whether a slice has available slots according to a recent report.
     *
     * @param slice the slice
     * @param nowMillis current time of the monotonic clock, in milliseconds
     * @return true when at least one slot is available
     */
    public boolean hasAvailableSlots(SliceId slice, long nowMillis) {
        Report report = reports.get(slice);
        return report != null && isFresh(report, nowMillis) && availableSlots(slice) > 0;
    }

    /**
     * Tells whether a recent report says that a slice has no usable target.
     *
     * @param slice the slice
     * @param nowMillis current time of the monotonic clock, in milliseconds
     * @return true when it has none; false when there is no recent report
     */
    public boolean hasNoUsableTarget(SliceId slice, long nowMillis) {
        Report report = reports.get(slice);
        return report != null && isFresh(report, nowMillis) && report.status().getUsableTargets() == 0;
    }

    /**
     * Returns the free slots of a slice, less the requests that wait for them and those that this host queued there
     * since the last report.
     *
     * @param slice the slice
     * @return the difference, which may be negative; 0 without a report
     */
    public int availableSlots(SliceId slice) {
        Report report = reports.get(slice);
        if (report == null) {
            return 0;
        }
        int reported = report.status().getFreeSlots() - report.status().getWaiting();
        return reported - queuedSinceReport.getOrDefault(slice, 0);
    }

    /**
     * Finds the slice that the longest known prefix of this prompt was last sent to.
     *
     * @param request the request
     * @return the slice and the number of tokens that it has probably cached
     */
    public Optional<SharedPrefix> longestSharedPrefix(RoutingRequest request) {
        for (int i = request.prefixes().size() - 1; i >= 0; i--) {
            SliceId slice = sliceOfPrefix.get(request.prefixes().get(i));
            if (slice != null) {
                return Optional.of(new SharedPrefix(slice, (i + 1) * PrefixDigests.TOKENS_PER_DIGEST));
            }
        }
        return Optional.empty();
    }

    // A wait that this host observes overrides a shorter reported one, because all targets of a slice may be dead while
    // its owner still counts them as usable.
    private long observedStallMillis(SliceId slice, long nowMillis) {
        Stall stall = stalls.get(slice);
        boolean recent = stall != null && nowMillis - stall.atMillis() <= MAX_AGE_MILLIS;
        return recent ? stall.waitedMillis() : 0;
    }

    private static boolean isFresh(Report report, long nowMillis) {
        return nowMillis - report.atMillis() <= MAX_AGE_MILLIS;
    }

    /**
     * Prefix that a slice has probably cached.
     *
     * @param slice the slice
     * @param tokens length of the prefix in tokens
     */
    public record SharedPrefix(SliceId slice, int tokens) {}

    private record Stall(long waitedMillis, long atMillis) {}

    private record Report(SliceStatus status, long atMillis) {
        long waitMillis(int tierRank) {
            if (status.getFreeSlots() > status.getWaiting()) {
                return 0;
            }
            return status.getWaitsList().stream()
                    .filter(wait -> wait.getTierRank() == tierRank)
                    .mapToLong(TierWait::getWaitMillis)
                    .findFirst()
                    .orElse(UNKNOWN_WAIT_MILLIS);
        }
    }
}
