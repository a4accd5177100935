package org.whinwharf.traffic.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.OptionalLong;
import java.util.Set;
import org.immutables.value.Value;

/** A run that ended with its connection, or whose target is silent, so that the target may have crashed under it. */
@Value.Immutable
public interface LostRun {
    /** Order of the ends of runs. The later parts make it the same in all processes. */
    Comparator<LostRun> BY_END = Comparator.comparingLong(LostRun::endedAtMillis)
            .thenComparingLong(LostRun::sentAtMillis)
            .thenComparingLong(LostRun::id);

    /** Tolerance for the delay of messages when runs of different processes are compared. */
    long OVERLAP_TOLERANCE_MILLIS = 5;

    /**
     * Returns the id of the run.
     *
     * @return id, unique among the lost runs of all processes
     */
    long id();

    /**
     * Returns the process that lost the run.
     *
     * @return digest of its name: the upper half of the id
     */
    default int process() {
        return (int) (id() >>> Integer.SIZE);
    }

    /**
     * Returns an id.
     *
     * @param processName name of the process that lost the run
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
     * Returns the parts of the request's prompt that other requests may share.
     *
     * @return digests; empty for a request without such parts
     */
    Set<Fingerprint> sharedParts();

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
     * Returns when the request was sent, by the clock of the process that lost the run. It tells the runs of a process
     * apart however long its messages took.
     *
     * @return monotonic time in milliseconds of that process; empty if it has not told
     */
    OptionalLong originSentMillis();

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
     * Tells whether the request was sent after the end of an earlier run.
     *
     * @param earlier run that ended before this one
     * @return true if the two do not overlap
     */
    default boolean isAfter(LostRun earlier) {
        long toleranceMillis = process() == earlier.process() ? 0 : OVERLAP_TOLERANCE_MILLIS;
        return sentAtMillis() + toleranceMillis >= earlier.endedAtMillis();
    }

    /**
     * Returns the maximum number of runs of which none overlaps another.
     *
     * @param runs lost runs
     * @return number of runs, one after the other
     */
    static int consecutive(Collection<LostRun> runs) {
        int count = 0;
        LostRun last = null;
        for (LostRun run : RunAlignment.align(runs)) {
            if (last == null || run.isAfter(last)) {
                count++;
                last = run;
            }
        }
        return count;
    }

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
