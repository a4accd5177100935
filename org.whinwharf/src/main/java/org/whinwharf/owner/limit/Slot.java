package org.whinwharf.owner.limit;

import org.whinwharf.owner.ProcessId;
import org.whinwharf.owner.queue.WaitingRequest;

/** One request that is, or may come to be, in flight at a target. Confined to the account that made it. */
public final class Slot {
    static final long NO_EXPIRY = Long.MAX_VALUE;

    private final ProcessId home;
    private final long request;
    private final long grant;
    private final long grantedAtMillis;
    private final long latestArrivalMillis;
    private final WaitingRequest waiting;
    private final boolean limitReached;
    private boolean recalled;
    private long orphanExpiryMillis = NO_EXPIRY;

    Slot(
            ProcessId home,
            long request,
            long grant,
            long grantedAtMillis,
            long latestArrivalMillis,
            WaitingRequest waiting,
            boolean limitReached) {
        this.home = home;
        this.request = request;
        this.grant = grant;
        this.grantedAtMillis = grantedAtMillis;
        this.latestArrivalMillis = latestArrivalMillis;
        this.waiting = waiting;
        this.limitReached = limitReached;
    }

    /**
     * Returns the home of the request.
     *
     * @return home
     */
    public ProcessId home() {
        return home;
    }

    /**
     * Returns the request's id at its home.
     *
     * @return id
     */
    public long request() {
        return request;
    }

    /**
     * Returns the grant's id.
     *
     * @return id; 0 for a request that an earlier owner granted
     */
    public long grant() {
        return grant;
    }

    /**
     * Returns what was granted.
     *
     * @return the request as it waited; null for a request that an earlier owner granted
     */
    public WaitingRequest waiting() {
        return waiting;
    }

    /**
     * Tells whether the limit was used up when this was granted.
     *
     * @return true when it was
     */
    public boolean limitReached() {
        return limitReached;
    }

    boolean recalled() {
        return recalled;
    }

    void recall() {
        recalled = true;
    }

    long grantedAtMillis() {
        return grantedAtMillis;
    }

    long latestArrivalMillis() {
        return latestArrivalMillis;
    }

    long orphanExpiryMillis() {
        return orphanExpiryMillis;
    }

    void orphan(long expiryMillis) {
        orphanExpiryMillis = Math.min(orphanExpiryMillis, expiryMillis);
    }
}
