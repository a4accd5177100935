package org.whinwharf.traffic.target;

import java.util.OptionalLong;

/**
 * A process that the entry of a target names, and for how long it is known to have served the target's address.
 *
 * <p>A target may restart under its id and address, and its entry names the process before for a while. A connection
 * leads to the process of the entry if that process is known to have been there at the time at which the connection was
 * established or later: it was there before, when it wrote its entry, and it starts once only.
 */
public final class TargetProcess {
    private final long startedUnixMillis;
    private final String version;
    private final long publishedAtMillis;
    private long servedUntilMillis = Long.MIN_VALUE;
    private long lostAtMillis = Long.MAX_VALUE;
    private OptionalLong successorStartUnixMillis = OptionalLong.empty();

    /**
     * Creates a process of which nothing but its entry is known.
     *
     * @param startedUnixMillis start that it states; 0 if it states none
     * @param version version of its software
     * @param publishedAtMillis monotonic time in milliseconds at which its entry was first read
     */
    TargetProcess(long startedUnixMillis, String version, long publishedAtMillis) {
        this.startedUnixMillis = startedUnixMillis;
        this.version = version;
        this.publishedAtMillis = publishedAtMillis;
    }

    /**
     * Returns the start that the process states.
     *
     * @return Unix time in milliseconds by the target's clock, compared for equality only; 0 if it states none
     */
    public long startedUnixMillis() {
        return startedUnixMillis;
    }

    /**
     * Returns the version of the process.
     *
     * @return version, compared for equality only
     */
    public String version() {
        return version;
    }

    /**
     * Returns when the entry of the process was first read.
     *
     * @return monotonic time in milliseconds
     */
    public long publishedAtMillis() {
        return publishedAtMillis;
    }

    /**
     * Records that the process served the target's address at the given time or later.
     *
     * @param atMillis monotonic time in milliseconds
     */
    public void servedAt(long atMillis) {
        servedUntilMillis = Math.max(servedUntilMillis, atMillis);
    }

    /** Records that the process seems to be gone; another one may have its place before it is published. */
    void lostAt(long atMillis) {
        lostAtMillis = Math.min(lostAtMillis, atMillis);
    }

    /**
     * Tells whether the process seemed to be gone before a connection was established.
     *
     * @param establishedAtMillis monotonic time in milliseconds
     * @return true if so, also if it was there later
     */
    boolean lostBefore(long establishedAtMillis) {
        return lostAtMillis <= establishedAtMillis;
    }

    /**
     * Records that another process has answered at the target's address, so that this one is gone.
     *
     * @param startUnixMillis start that the other process states, in Unix time in milliseconds
     */
    void succeededBy(long startUnixMillis) {
        successorStartUnixMillis = OptionalLong.of(startUnixMillis);
    }

    /**
     * Returns the process that has answered in the place of this one.
     *
     * @return start that it states, in Unix time in milliseconds; empty if none is known
     */
    public OptionalLong successorStartUnixMillis() {
        return successorStartUnixMillis;
    }

    /**
     * Tells whether a connection to the target is known to lead to this process.
     *
     * @param establishedAtMillis monotonic time in milliseconds at which the connection was established
     * @return false also if that is not known
     */
    public boolean serves(long establishedAtMillis) {
        return establishedAtMillis >= publishedAtMillis && establishedAtMillis <= servedUntilMillis;
    }

    /**
     * Returns for how long the process is known to have served the target's address after its entry was read.
     *
     * @return time in milliseconds; empty if nothing is known but its entry
     */
    public OptionalLong servedMillis() {
        return servedUntilMillis < publishedAtMillis
                ? OptionalLong.empty()
                : OptionalLong.of(servedUntilMillis - publishedAtMillis);
    }
}
