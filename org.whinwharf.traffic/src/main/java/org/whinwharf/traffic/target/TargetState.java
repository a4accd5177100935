package org.whinwharf.traffic.target;

/** This process's state of one target. Not thread-safe; used by one thread only. */
public final class TargetState {
    /**
     * Time without dispatches after a target rejected a request as full: about one in ten of its slots frees meanwhile.
     */
    private static final long FULL_BACKOFF_MILLIS = 60;
    /** The same for a target with a rejection limit, which counts rejections in any second. */
    private static final long LIMITED_BACKOFF_MILLIS = 1_000;

    private Target target;
    private final TargetHealth health = new TargetHealth();
    private final TargetSpeed speed;
    private final TargetLimit limit = new TargetLimit();
    private final ColdStartLimiter coldStartLimiter = new ColdStartLimiter();
    private int localInFlight;
    private long localPrefillTokens;
    private int remoteInFlight;
    private long remotePrefillTokens;
    private int coordinatedInFlight;
    private long coordinatedPrefillTokens;
    private long coldUntilMillis;
    private long removedAtMillis = Long.MAX_VALUE;
    private long fullUntilMillis;
    private boolean rejectionsLimited;

    /**
     * Creates the state of a newly published target.
     *
     * @param target the target
     */
    public TargetState(Target target) {
        this(target, new SpeedBaseline(false));
    }

    /**
     * Creates the state of a newly published target of a service whose targets are compared with each other.
     *
     * @param target the target
     * @param baseline speed of the targets of its service
     */
    public TargetState(Target target, SpeedBaseline baseline) {
        this.target = target;
        speed = new TargetSpeed(baseline);
    }

    /**
     * Returns the target as last published.
     *
     * @return the target
     */
    public Target target() {
        return target;
    }

    /**
     * Applies a new publication of the same target, which cancels its removal.
     *
     * @param published the target as published now
     */
    public void update(Target published) {
        target = published;
        removedAtMillis = Long.MAX_VALUE;
    }

    /**
     * Returns the target's passive health.
     *
     * @return health
     */
    public TargetHealth health() {
        return health;
    }

    /**
     * Returns the target's learned speed.
     *
     * @return speed
     */
    public TargetSpeed speed() {
        return speed;
    }

    /**
     * Returns the number of requests that the target takes at once before it slows down.
     *
     * @return learned limit
     */
    public TargetLimit limit() {
        return limit;
    }

    /**
     * Returns the limiter of requests while the target is cold.
     *
     * @return limiter
     */
    public ColdStartLimiter coldStartLimiter() {
        return coldStartLimiter;
    }

    /**
     * Records that the target is cold.
     *
     * @param untilMillis monotonic time in milliseconds at which it is warm
     */
    public void markColdUntil(long untilMillis) {
        coldUntilMillis = Math.max(coldUntilMillis, untilMillis);
    }

    /**
     * Returns whether the target is cold.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true while it is cold
     */
    public boolean cold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Records that the target's published entry was removed.
     *
     * @param atMillis monotonic time in milliseconds from which it counts as removed
     */
    public void markRemovedAt(long atMillis) {
        removedAtMillis = Math.min(removedAtMillis, atMillis);
    }

    /**
     * Returns whether the target's published entry was removed.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true when it counts as removed
     */
    public boolean removed(long nowMillis) {
        return nowMillis >= removedAtMillis;
    }

    /**
     * Records that the target rejected a request as full. It gets no requests for a short backoff.
     *
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordFullRejection(long nowMillis) {
        fullUntilMillis = nowMillis + (rejectionsLimited ? LIMITED_BACKOFF_MILLIS : FULL_BACKOFF_MILLIS);
    }

    /**
     * Sets whether the target crashes when it rejects too many requests in a second.
     *
     * @param limited true while the targets of its service announce such a limit
     */
    public void setRejectionsLimited(boolean limited) {
        rejectionsLimited = limited;
    }

    /**
     * Returns whether the target crashes when it rejects too many requests in a second.
     *
     * @return true if it must get no more requests than it has slots
     */
    public boolean rejectionsLimited() {
        return rejectionsLimited;
    }

    /**
     * Returns whether the target, cold or warm, may get requests.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true when it is not draining, removed, ejected or backing off
     */
    public boolean usable(long nowMillis) {
        return !target.draining() && !removed(nowMillis) && !health.ejected() && nowMillis >= fullUntilMillis;
    }

    /**
     * Records a request that this process dispatches to the target.
     *
     * @param uncachedTokens prompt tokens that the target has to prefill
     */
    public void recordDispatch(long uncachedTokens) {
        localInFlight++;
        localPrefillTokens += uncachedTokens;
    }

    /**
     * Records the end of a prefill: the first event arrived, or the request ended before it.
     *
     * @param uncachedTokens tokens passed to {@link #recordDispatch}
     */
    public void recordPrefillEnd(long uncachedTokens) {
        localPrefillTokens -= uncachedTokens;
    }

    /** Records the end of a request of this process. */
    public void recordEnd() {
        localInFlight--;
    }

    /**
     * Replaces the load that other processes reported for the target.
     *
     * @param inFlight requests in flight
     * @param prefillTokens prompt tokens not yet prefilled
     */
    public void updateRemoteLoad(int inFlight, long prefillTokens) {
        remoteInFlight = inFlight;
        remotePrefillTokens = prefillTokens;
    }

    /**
     * Returns the number of this process's requests in flight at the target.
     *
     * @return requests
     */
    public int localInFlight() {
        return localInFlight;
    }

    /**
     * Returns the prompt tokens of this process's requests that the target has not prefilled yet.
     *
     * @return tokens
     */
    public long localPrefillTokens() {
        return localPrefillTokens;
    }

    /**
     * Replaces the load of all processes at the target, as counted by the coordinator of its service.
     *
     * @param inFlight requests in flight
     * @param prefillTokens prompt tokens not yet prefilled
     */
    public void updateCoordinatedLoad(int inFlight, long prefillTokens) {
        coordinatedInFlight = inFlight;
        coordinatedPrefillTokens = prefillTokens;
    }

    /**
     * Returns all known requests in flight at the target: the larger of the coordinator's count and the sum that the
     * processes report, because a new coordinator knows only some of the requests.
     *
     * @return requests of this and other processes
     */
    public int inFlight() {
        return Math.max(coordinatedInFlight, localInFlight + remoteInFlight);
    }

    /**
     * Returns all known prompt tokens that the target has not prefilled yet.
     *
     * @return tokens of this and other processes
     */
    public long pendingPrefillTokens() {
        return Math.max(coordinatedPrefillTokens, localPrefillTokens + remotePrefillTokens);
    }

    /**
     * Returns the number of requests at the target divided by its slots.
     *
     * @return occupancy; above 1 when requests queue at the target
     */
    public double occupancy() {
        return inFlight() / (double) Math.max(1, target.slots());
    }
}
