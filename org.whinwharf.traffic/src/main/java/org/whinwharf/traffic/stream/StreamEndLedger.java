package org.whinwharf.traffic.stream;

import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** How the targets of one service have ended their latest streams, and what was found out of undeclared ends. */
public final class StreamEndLedger {
    /** Number of streams that are counted. */
    private static final int RECENT_ENDS = 100;
    /** Minimum number of streams from which the share of undeclared ends is inferred. */
    private static final int MIN_ENDS = 20;

    /** Number of checks that are kept. */
    private static final int MAX_CHECKS = 20;
    /** Time for which a check tells of other streams. */
    private static final long CHECK_MEMORY_MILLIS = 30_000;
    /** Number of checks without a cut from which undeclared ends count as whole ones. */
    private static final int MIN_WHOLE_CHECKS = 5;

    private static final Comparator<EndCheck> OLDEST_FIRST =
            Comparator.comparingLong(EndCheck::checkedAtMillis).thenComparingLong(EndCheck::id);

    /** Ring of the latest ends; a bit is set if the end was not declared. */
    private final BitSet undeclared = new BitSet(RECENT_ENDS);

    private int endCount;
    private int nextEnd;
    private final TreeSet<EndCheck> checks = new TreeSet<>(OLDEST_FIRST);

    /**
     * Records the end of a stream, whole or broken off.
     *
     * @param declared whether the response told where it ends, rather than ending with its connection
     */
    public void ended(boolean declared) {
        undeclared.set(nextEnd, !declared);
        nextEnd = (nextEnd + 1) % RECENT_ENDS;
        endCount = Math.min(RECENT_ENDS, endCount + 1);
    }

    /**
     * Tells whether few of the latest streams of all processes had an undeclared end, so that such an end is odd.
     *
     * @param maxShare largest share of undeclared ends that is few
     * @param others counts of other processes; what is more than a process counts is ignored
     * @return false also while too few streams have ended to tell
     */
    public boolean undeclaredRare(double maxShare, Collection<StreamEndCounts> others) {
        int declared = endCount - undeclared.cardinality();
        int undeclaredSum = undeclared.cardinality();
        for (StreamEndCounts counts : others) {
            declared += Math.min(RECENT_ENDS, counts.declared());
            undeclaredSum += Math.min(RECENT_ENDS, counts.undeclared());
        }
        int all = declared + undeclaredSum;
        return all >= MIN_ENDS && undeclaredSum <= maxShare * all;
    }

    /**
     * Returns the counts of this process.
     *
     * @return latest streams
     */
    public StreamEndCounts counts() {
        return new StreamEndCounts(endCount - undeclared.cardinality(), undeclared.cardinality());
    }

    /**
     * Records what was found out of an undeclared end; the oldest check is forgotten for one beyond the limit.
     *
     * @param check the check, by this process or another
     */
    public void checked(EndCheck check) {
        if (checks.stream().noneMatch(known -> known.id() == check.id())) {
            checks.add(check);
        }
        if (checks.size() > MAX_CHECKS) {
            checks.pollFirst();
        }
    }

    /**
     * Tells whether any of the latest checks has found a stream that was cut.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true if undeclared ends may be cuts
     */
    public boolean cutsShown(long nowMillis) {
        return checks(nowMillis).stream().anyMatch(EndCheck::cut);
    }

    /**
     * Tells whether enough of the latest checks have found whole streams, and none a cut one.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true if undeclared ends are whole streams
     */
    public boolean wholeShown(long nowMillis) {
        return checks(nowMillis).size() >= MIN_WHOLE_CHECKS && !cutsShown(nowMillis);
    }

    /**
     * Returns the latest checks.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return checks, the oldest first
     */
    public List<EndCheck> checks(long nowMillis) {
        checks.removeIf(check -> nowMillis - check.checkedAtMillis() > CHECK_MEMORY_MILLIS);
        return List.copyOf(checks);
    }
}
