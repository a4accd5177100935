package org.whinwharf.owner.limit;

import org.whinwharf.owner.ProcessId;
import org.whinwharf.owner.queue.WaitingRequest;

/**
 * A slot of a target's limit, taken by one granted request.
 *
 * <p>The request is in flight, or may still be sent under its grant. A slot is confined to the {@link TargetAccount}
 * that created it.
 */
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
     * Returns the id of the request at its home.
     *
     * @return id
     */
    public long request() {
        return request;
    }

    /**
     * Returns the id of the grant.
     *
     * @return id; 0 for a request that an earlier owner granted
     */
    public long grant() {
        return grant;
    }

    /**
     * Returns the request as it was queued.
     *
     * @return queued request; null for a request that an earlier owner granted
     */
    public WaitingRequest waiting() {
        return waiting;
    }

    /**
     * Returns whether the grant used the last free slot of the limit.
     *
     * @return true when no slot was free after the grant
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
