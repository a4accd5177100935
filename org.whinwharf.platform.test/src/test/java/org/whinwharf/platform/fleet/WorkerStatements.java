package org.whinwharf.platform.fleet;

/**
 * When and how a worker speaks of itself.
 *
 * @param entryDelayMillis time from its start to its first entry in the store
 * @param beats whether it writes its entry again from time to time
 * @param reports whether it answers requests for a report
 * @param skewMillis how far its clock is ahead
 * @param namesRejections whether all its rejections bear the id of the attempt, not just some
 * @param slots number of requests that it works on at once, which its entry names
 */
record WorkerStatements(
        long entryDelayMillis, boolean beats, boolean reports, long skewMillis, boolean namesRejections, int slots) {
    /** Usual number of slots. */
    static final int SLOTS = 4;

    /** One entry at the start, and no reports. */
    static final WorkerStatements ONE_ENTRY = new WorkerStatements(0, false, false, 0, false, SLOTS);
}
