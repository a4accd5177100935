package org.whinwharf.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.message.SliceStatus;
import org.whinwharf.wire.message.TierWait;

/** What this host has heard of slices, with the age of each fact, and where it sent which prefixes. */
public final class SliceTracker {
    /** Wait assumed of a slice of which nothing recent is known, in milliseconds. */
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
     * Takes in what an owner says of its slice.
     *
     * @param status the owner's word
     * @param nowMillis when it arrived
     */
    public void updateStatus(SliceStatus status, long nowMillis) {
        reports.put(status.getSlice(), new Report(status, nowMillis));
        queuedSinceReport.remove(status.getSlice());
    }

    /**
     * Notes that this host queued a request at a slice, which takes from the room that its owner spoke of.
     *
     * @param slice where it was queued
     */
    public void recordQueued(SliceId slice) {
        queuedSinceReport.merge(slice, 1, Integer::sum);
    }

    /**
     * Notes that a request of this host got no grant at a slice so far.
     *
     * @param slice where it waits
     * @param waitedMillis how long it has waited
     * @param nowMillis now
     */
    public void recordStall(SliceId slice, long waitedMillis, long nowMillis) {
        stalls.put(slice, new Stall(waitedMillis, nowMillis));
    }

    /**
     * Notes that a slice granted a request of this host.
     *
     * @param slice the slice
     */
    public void recordGrant(SliceId slice) {
        stalls.remove(slice);
    }

    /**
     * Notes that a prompt was sent to a slice.
     *
     * @param request the request
     * @param slice where it was sent
     */
    public void recordDispatch(RoutingRequest request, SliceId slice) {
        request.prefixes().forEach(prefix -> sliceOfPrefix.put(prefix, slice));
    }

    /**
     * Returns the wait to expect at a slice.
     *
     * @param slice the slice
     * @param tierRank rank of the caller's tier
     * @param nowMillis now
     * @return milliseconds; an old fact counts no better than an unknown slice
     */
    public long estimatedWaitMillis(SliceId slice, int tierRank, long nowMillis) {
        Report fact = reports.get(slice);
        long seenMillis = observedStallMillis(slice, nowMillis);
        if (fact == null) {
            return Math.max(seenMillis, UNKNOWN_WAIT_MILLIS);
        }
        long waitMillis = Math.max(seenMillis, fact.waitMillis(tierRank));
        // An old word of a free slice is what sends a whole fleet to the same slice: everyone still believes it.
        return isFresh(fact, nowMillis) ? waitMillis : Math.max(waitMillis, UNKNOWN_WAIT_MILLIS);
    }

    /**
     * Tells whether a slice is surely expected to serve a tier within some time.
     *
     * @param slice the slice
     * @param tierRank rank of the caller's tier
     * @param boundMillis the time, in milliseconds
     * @param nowMillis now
     * @return true when a recent word of its owner says so and this host has not seen it stall
     */
    public boolean servesWithin(SliceId slice, int tierRank, long boundMillis, long nowMillis) {
        Report fact = reports.get(slice);
        boolean known =
                fact != null && isFresh(fact, nowMillis) && fact.status().getUsableTargets() > 0;
        return known && estimatedWaitMillis(slice, tierRank, nowMillis) < boundMillis;
    }

    /**
     * Tells whether a slice has room by a recent word of its owner.
     *
     * @param slice the slice
     * @param nowMillis now
     * @return true when it has a free slot
     */
    public boolean hasAvailableSlots(SliceId slice, long nowMillis) {
        Report fact = reports.get(slice);
        return fact != null && isFresh(fact, nowMillis) && availableSlots(slice) > 0;
    }

    /**
     * Tells whether a recent word of its owner says that a slice has no target to use.
     *
     * @param slice the slice
     * @param nowMillis now
     * @return true when it has none
     */
    public boolean hasNoUsableTarget(SliceId slice, long nowMillis) {
        Report fact = reports.get(slice);
        return fact != null && isFresh(fact, nowMillis) && fact.status().getUsableTargets() == 0;
    }

    /**
     * Counts the free slots of a slice less those who wait for them and what this host queued there since.
     *
     * @param slice the slice
     * @return the difference; 0 when nothing is known
     */
    public int availableSlots(SliceId slice) {
        Report fact = reports.get(slice);
        if (fact == null) {
            return 0;
        }
        int spoken = fact.status().getFreeSlots() - fact.status().getWaiting();
        return spoken - queuedSinceReport.getOrDefault(slice, 0);
    }

    /**
     * Finds where a prompt that shares most with this one was sent last.
     *
     * @param request the request
     * @return the slice and how many tokens it should have cached
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

    // What this host sees for itself counts more than a good word: all targets of a slice may be dead while its owner
    // still expects them to answer.
    private long observedStallMillis(SliceId slice, long nowMillis) {
        Stall stall = stalls.get(slice);
        boolean recent = stall != null && nowMillis - stall.atMillis() <= MAX_AGE_MILLIS;
        return recent ? stall.waitedMillis() : 0;
    }

    private static boolean isFresh(Report fact, long nowMillis) {
        return nowMillis - fact.atMillis() <= MAX_AGE_MILLIS;
    }

    /**
     * Prefix that a slice has probably cached.
     *
     * @param slice the slice
     * @param tokens length of the prefix
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
