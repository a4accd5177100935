package org.whinwharf.ticket;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Numbers seen under one ticket: a contiguous interval from zero, stragglers above it as ranges, and what was recorded
 * for the latest of them. A number once seen stays seen, also when its record was dropped to keep the bound.
 *
 * @param <V> type of what is recorded for a number
 */
public final class NumberWindow<V> {
    private final int maxRanges;
    private final int maxRecords;
    // First number of each range of seen numbers, to the number after its last.
    private final TreeMap<Long, Long> ranges = new TreeMap<>();
    private final LinkedHashMap<Long, V> records = new LinkedHashMap<>();
    private boolean closed;

    /**
     * Creates an empty window.
     *
     * @param maxRanges most separate ranges of seen numbers
     * @param maxRecords most numbers for which something stays recorded
     */
    public NumberWindow(int maxRanges, int maxRecords) {
        this.maxRanges = maxRanges;
        this.maxRecords = maxRecords;
    }

    /**
     * Tells whether a number was seen.
     *
     * @param number the number
     * @return true when it was taken before
     */
    public boolean isSeen(long number) {
        Map.Entry<Long, Long> range = ranges.floorEntry(number);
        return range != null && number < range.getValue();
    }

    /**
     * Returns what was recorded for a number.
     *
     * @param number the number
     * @return the record, or nothing when the number was not seen or its record was dropped
     */
    public Optional<V> record(long number) {
        return Optional.ofNullable(records.get(number));
    }

    /**
     * Takes a number that was not seen.
     *
     * <p>A number that would make one range too many closes the window for all fresh numbers. Its caller is told "not
     * run"; a copy of the same request that was delayed on the way must not find the gap filled and run after all.
     *
     * @param number the number, from 0 to one below the largest long
     * @param record what to record for it
     * @return false when the number was seen or the window is closed
     */
    public boolean take(long number, V record) {
        if (closed || number < 0 || number == Long.MAX_VALUE || isSeen(number)) {
            return false;
        }
        if (exceedsMaxRanges(number)) {
            closed = true;
            return false;
        }
        insert(number);
        records.put(number, record);
        evictOldestRecord();
        return true;
    }

    /**
     * Returns how many separate ranges of seen numbers are held.
     *
     * @return count of ranges, the contiguous interval among them
     */
    public int rangeCount() {
        return ranges.size();
    }

    private boolean exceedsMaxRanges(long number) {
        boolean touchesBelow = number > 0 && isSeen(number - 1);
        boolean touchesAbove = isSeen(number + 1);
        return !touchesBelow && !touchesAbove && ranges.size() >= maxRanges;
    }

    private void insert(long number) {
        long start = number;
        long end = number + 1;
        Map.Entry<Long, Long> below = ranges.floorEntry(number);
        if (below != null && below.getValue() == number) {
            start = below.getKey();
        }
        Long aboveEnd = ranges.remove(end);
        ranges.put(start, aboveEnd == null ? end : aboveEnd);
    }

    private void evictOldestRecord() {
        if (records.size() > maxRecords) {
            Long eldest = records.keySet().iterator().next();
            records.remove(eldest);
        }
    }
}
