package org.whinwharf.owner.limit;

import org.whinwharf.owner.HomeId;
import org.whinwharf.owner.queue.Waiting;

/** One request that is, or may come to be, in flight at a target. Confined to the account that made it. */
public final class Slot {
    static final long NEVER = Long.MAX_VALUE;

    private final HomeId home;
    private final long request;
    private final long grant;
    private final long grantedAtMillis;
    private final long surelySentAtMillis;
    private final Waiting waiting;
    private final boolean full;
    private boolean recalled;
    private long orphanUntilMillis = NEVER;

    Slot(
            HomeId home,
            long request,
            long grant,
            long grantedAtMillis,
            long surelySentAtMillis,
            Waiting waiting,
            boolean full) {
        this.home = home;
        this.request = request;
        this.grant = grant;
        this.grantedAtMillis = grantedAtMillis;
        this.surelySentAtMillis = surelySentAtMillis;
        this.waiting = waiting;
        this.full = full;
    }

    /**
     * Returns the home of the request.
     *
     * @return home
     */
    public HomeId home() {
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
    public Waiting waiting() {
        return waiting;
    }

    /**
     * Tells whether the limit was used up when this was granted.
     *
     * @return true when it was
     */
    public boolean full() {
        return full;
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

    long surelySentAtMillis() {
        return surelySentAtMillis;
    }

    long orphanUntilMillis() {
        return orphanUntilMillis;
    }

    void orphan(long untilMillis) {
        orphanUntilMillis = Math.min(orphanUntilMillis, untilMillis);
    }
}
