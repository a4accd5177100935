package org.whinwharf.traffic.crash;

import org.immutables.value.Value;

/** A run that ended with its connection, or whose target is silent, so that the target may have crashed under it. */
@Value.Immutable
public interface LostRun {
    /**
     * Returns the id of the run.
     *
     * @return id, unique among the lost runs of all processes
     */
    long id();

    /**
     * Returns the process whose clock the times of the run are by.
     *
     * @return digest of its name: the upper half of the id
     */
    default int process() {
        return (int) (id() >>> Integer.SIZE);
    }

    /**
     * Returns an id.
     *
     * @param processName name of the process whose clock the times of the run are by
     * @param number number that differs for each lost run of the process
     * @return id
     */
    static long id(String processName, int number) {
        return (long) processName.hashCode() << Integer.SIZE | Integer.toUnsignedLong(number);
    }

    /**
     * Returns the request that ran.
     *
     * @return digest of its content
     */
    Fingerprint fingerprint();

    /**
     * Returns the target.
     *
     * @return id of the target
     */
    String targetId();

    /**
     * Returns when the request was sent to the target.
     *
     * @return monotonic time in milliseconds
     */
    long sentAtMillis();

    /**
     * Returns when the run ended.
     *
     * @return monotonic time in milliseconds
     */
    long endedAtMillis();

    /**
     * Returns what is known of its end.
     *
     * @return evidence
     */
    CrashEvidence evidence();

    /**
     * Returns until when the run is remembered.
     *
     * @return monotonic time in milliseconds
     */
    @Value.Derived
    default long expiresAtMillis() {
        return endedAtMillis() + evidence().retentionMillis();
    }
}
