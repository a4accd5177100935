package org.whinwharf.traffic.stream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of streams that callers may still resume. The oldest are evicted when there are too many, and each
 * expires when no caller can wait for its stream any longer.
 */
public final class StreamOrigins {
    /** Time for which an origin is kept: longer than callers follow a stream over all their attempts. */
    public static final long RETENTION_MILLIS = 30_000;
    /** Tolerance for the clocks of targets when their starts are compared with times of this process. */
    public static final long CLOCK_TOLERANCE_MILLIS = 3_000;
    /** Time for which a caller follows a stream over all its attempts, in timeouts of the route. */
    private static final int FOLLOWED_TIMEOUTS = 2;
    /**
     * Least time for which a caller is taken to follow a stream: its time limit is its own, and the timeout of the
     * route may have been longer when the stream began.
     */
    private static final long MIN_FOLLOWED_MILLIS = 20_000;
    /** Maximum number of origins, about 2 MB. */
    private static final int MAX_ORIGINS = 20_000;

    /** In the order in which they were recorded. */
    private final Map<StreamKey, StreamOrigin> origins = new LinkedHashMap<>();

    /**
     * Returns for how long before now a resumed stream can have begun.
     *
     * @param timeoutMillis timeout of its route in milliseconds
     * @return time in milliseconds
     */
    public static long maxAgeMillis(long timeoutMillis) {
        return Math.min(RETENTION_MILLIS, Math.max(MIN_FOLLOWED_MILLIS, FOLLOWED_TIMEOUTS * timeoutMillis));
    }

    /**
     * Records an origin. Of two for the same stream, the later one holds; a process that one of them confirms stays
     * confirmed.
     *
     * @param origin origin
     * @param nowMillis monotonic time in milliseconds
     */
    public void record(StreamOrigin origin, long nowMillis) {
        expire(nowMillis);
        StreamOrigin known = origins.get(origin.key());
        if (known != null && known.recordedAtMillis() > origin.recordedAtMillis()) {
            return;
        }
        origins.remove(origin.key());
        if (origins.size() >= MAX_ORIGINS) {
            Iterator<StreamKey> oldest = origins.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        boolean confirmed = known != null
                && known.unconfirmedProcess().isEmpty()
                && known.service().equals(origin.service())
                && known.version().equals(origin.version());
        origins.put(
                origin.key(),
                confirmed ? ImmutableStreamOrigin.copyOf(origin).withUnconfirmedProcess(Optional.empty()) : origin);
    }

    /**
     * Returns the origin of a stream.
     *
     * @param key stream
     * @param nowMillis monotonic time in milliseconds
     * @return origin; empty if it is not known
     */
    public Optional<StreamOrigin> find(StreamKey key, long nowMillis) {
        return Optional.ofNullable(origins.get(key)).filter(origin -> !expired(origin, nowMillis));
    }

    /**
     * Returns all origins.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return origins that have not expired, in a new list
     */
    public List<StreamOrigin> all(long nowMillis) {
        expire(nowMillis);
        return new ArrayList<>(origins.values());
    }

    /**
     * Returns the number of origins.
     *
     * @return origins, expired ones that were not removed yet included
     */
    public int size() {
        return origins.size();
    }

    /** Removes expired origins; those recorded out of order are removed with the next ones. */
    private void expire(long nowMillis) {
        Iterator<StreamOrigin> oldest = origins.values().iterator();
        while (oldest.hasNext() && expired(oldest.next(), nowMillis)) {
            oldest.remove();
        }
    }

    private static boolean expired(StreamOrigin origin, long nowMillis) {
        return nowMillis - origin.recordedAtMillis() > RETENTION_MILLIS;
    }
}
