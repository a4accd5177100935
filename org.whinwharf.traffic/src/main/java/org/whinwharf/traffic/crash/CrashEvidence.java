package org.whinwharf.traffic.crash;

import java.util.concurrent.TimeUnit;

/** What is known of the end of a lost run. A later constant replaces an earlier one. */
public enum CrashEvidence {
    /**
     * The response was truncated, or the caller left while the target was silent, which a crash may cause but mostly
     * does not. Counts only once the target is known to have crashed.
     */
    POSSIBLE(false, 0, 15_000),
    /**
     * The target was silent for too long. Counts only once it is known to have crashed, which is found out meanwhile.
     */
    SILENT(false, 300, 15_000),
    /** The connection was lost; the target may have crashed, or only the connection. */
    LOST(true, 30, 15_000),
    /** The target crashed. */
    CRASHED(true, 30, TimeUnit.MINUTES.toMillis(10)),
    /**
     * The target lived on, or a target has served the request; kept as long, so that it is not held against it again.
     */
    CLEARED(false, 0, TimeUnit.MINUTES.toMillis(10));

    private final boolean counted;
    private final long settlingMillis;
    private final long retentionMillis;

    CrashEvidence(boolean counted, long settlingMillis, long retentionMillis) {
        this.counted = counted;
        this.settlingMillis = settlingMillis;
        this.retentionMillis = retentionMillis;
    }

    /**
     * Tells whether the run is held against its request.
     *
     * @return true if it may have crashed its target
     */
    public boolean counted() {
        return counted;
    }

    /**
     * Returns the time after the end of the run until more may be known: the review of the run, and those of other
     * targets, have reached all processes.
     *
     * @return time in milliseconds
     */
    public long settlingMillis() {
        return settlingMillis;
    }

    /**
     * Returns for how long a run is remembered after its end: longer than callers repeat a request if it is not known
     * that the target crashed, and longer than most faults of targets take to be mended if it is.
     *
     * @return time in milliseconds
     */
    public long retentionMillis() {
        return retentionMillis;
    }
}
