package org.whinwharf.platform.fleet;

/** How workers end streams, apart from their other faults. */
enum StreamEnds {
    /** Those without a declared end are whole, or are reset. */
    WHOLE(4, 0),
    /** Many declare no end; a few of all streams are ended in order between two events. */
    OFTEN_UNDECLARED(4, 0.04),
    /** Few declare no end; many of all streams are ended in order between two events. */
    RARELY_UNDECLARED(20, 0.2);

    private final int undeclaredInterval;
    private final double earlyEndProbability;

    StreamEnds(int undeclaredInterval, double earlyEndProbability) {
        this.undeclaredInterval = undeclaredInterval;
        this.earlyEndProbability = earlyEndProbability;
    }

    /** Returns the number of streams of which one ends with its connection. */
    int undeclaredInterval() {
        return undeclaredInterval;
    }

    /** Returns the share of the streams that end early. */
    double earlyEndProbability() {
        return earlyEndProbability;
    }
}
