package org.whinwharf.traffic.stream;

import java.util.BitSet;

/** How the targets of one service have ended their latest streams, as far as this process received them. */
public final class StreamEndLedger {
    /** Number of streams that are counted. */
    private static final int RECENT_ENDS = 100;
    /** Minimum number of streams from which the share of undeclared ends is inferred. */
    private static final int MIN_ENDS = 20;

    /** Ring of the latest ends; a bit is set if the end was not declared. */
    private final BitSet undeclared = new BitSet(RECENT_ENDS);

    private int endCount;
    private int nextEnd;

    /**
     * Records the end of a stream.
     *
     * @param declared whether the response told where it ends, rather than ending with its connection
     */
    public void ended(boolean declared) {
        undeclared.set(nextEnd, !declared);
        nextEnd = (nextEnd + 1) % RECENT_ENDS;
        endCount = Math.min(RECENT_ENDS, endCount + 1);
    }

    /**
     * Tells whether few of the latest streams had an undeclared end, so that such an end is odd.
     *
     * @param maxShare largest share of undeclared ends that is few
     * @return false also while too few streams have ended to tell
     */
    public boolean undeclaredRare(double maxShare) {
        return endCount >= MIN_ENDS && undeclared.cardinality() <= maxShare * endCount;
    }
}
