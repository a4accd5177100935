package org.whinwharf.traffic.target;

/** What this process knows of one target; used by one thread only. */
public final class TargetState {
    /** Time a full target gets nothing after it refused a request: about one in ten of its slots frees meanwhile. */
    private static final long FULL_BACKOFF_MILLIS = 60;

    private Target target;
    private final TargetHealth health = new TargetHealth();
    private final TargetSpeed speed = new TargetSpeed();
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

    /**
     * Creates the state of a target that was just published.
     *
     * @param target the target
     */
    public TargetState(Target target) {
        this.target = target;
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
     * Takes a new publication of the same target.
     *
     * @param published the target
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
     * Returns the bound on requests while the target is cold.
     *
     * @return gate
     */
    public ColdStartLimiter coldStartLimiter() {
        return coldStartLimiter;
    }

    /**
     * Notes that the target is cold.
     *
     * @param untilMillis steady time in milliseconds at which it is warm again
     */
    public void markColdUntil(long untilMillis) {
        coldUntilMillis = Math.max(coldUntilMillis, untilMillis);
    }

    /**
     * Tells whether the target is cold.
     *
     * @param nowMillis steady time in milliseconds
     * @return true while it is cold
     */
    public boolean cold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Notes that the target's entry was removed.
     *
     * @param atMillis steady time from which it counts as gone
     */
    public void markRemovedAt(long atMillis) {
        removedAtMillis = Math.min(removedAtMillis, atMillis);
    }

    /**
     * Tells whether the target's entry was removed.
     *
     * @param nowMillis steady time in milliseconds
     * @return true when it counts as gone
     */
    public boolean removed(long nowMillis) {
        return nowMillis >= removedAtMillis;
    }

    /**
     * Notes that the target refused a request as full; it gets nothing for a moment.
     *
     * @param nowMillis steady time in milliseconds
     */
    public void recordFullRejection(long nowMillis) {
        fullUntilMillis = nowMillis + FULL_BACKOFF_MILLIS;
    }

    /**
     * Tells whether the target may get requests at all, cold or warm.
     *
     * @param nowMillis steady time in milliseconds
     * @return true when nothing speaks against it
     */
    public boolean usable(long nowMillis) {
        return !target.draining() && !removed(nowMillis) && !health.ejected() && nowMillis >= fullUntilMillis;
    }

    /**
     * Notes a request that this process sends.
     *
     * @param uncachedTokens prompt tokens that the target has to read
     */
    public void recordDispatch(long uncachedTokens) {
        localInFlight++;
        localPrefillTokens += uncachedTokens;
    }

    /**
     * Notes that a prompt was read: the first event came, or the request ended before.
     *
     * @param uncachedTokens tokens given to {@link #recordDispatch}
     */
    public void recordPrefillEnd(long uncachedTokens) {
        localPrefillTokens -= uncachedTokens;
    }

    /** Notes the end of a request. */
    public void recordEnd() {
        localInFlight--;
    }

    /**
     * Takes what other processes last said of their requests at the target.
     *
     * @param running requests
     * @param prefillTokens prompt tokens not yet read
     */
    public void updateRemoteLoad(int running, long prefillTokens) {
        remoteInFlight = running;
        remotePrefillTokens = prefillTokens;
    }

    /**
     * Returns this process's requests at the target.
     *
     * @return requests
     */
    public int localInFlight() {
        return localInFlight;
    }

    /**
     * Returns this process's prompt tokens that the target has not read yet.
     *
     * @return tokens
     */
    public long localPrefillTokens() {
        return localPrefillTokens;
    }

    /**
     * Takes what all processes have under way at the target, as the coordinator of its service counts it.
     *
     * @param running requests
     * @param prefillTokens prompt tokens not yet read
     */
    public void updateCoordinatedLoad(int running, long prefillTokens) {
        coordinatedInFlight = running;
        coordinatedPrefillTokens = prefillTokens;
    }

    /**
     * Returns all known requests at the target: the coordinator's count, or where it is new and knows less, what the
     * processes say themselves.
     *
     * @return requests of this and of other processes
     */
    public int inFlight() {
        return Math.max(coordinatedInFlight, localInFlight + remoteInFlight);
    }

    /**
     * Returns all known prompt tokens that the target has not read yet.
     *
     * @return tokens of this and of other processes
     */
    public long pendingPrefillTokens() {
        return Math.max(coordinatedPrefillTokens, localPrefillTokens + remotePrefillTokens);
    }

    /**
     * Returns the requests at the target over its slots.
     *
     * @return occupancy; above 1 when some wait there
     */
    public double occupancy() {
        return inFlight() / (double) Math.max(1, target.slots());
    }
}
