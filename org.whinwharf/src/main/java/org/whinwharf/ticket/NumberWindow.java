package org.whinwharf.ticket;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Request numbers seen under one ticket, stored as ranges, with a record for each of the latest numbers. A number once
 * seen stays seen, even after its record was evicted to keep the limit.
 *
 * @param <V> type of the records
 */
public final class NumberWindow<V> {
    private final int maxRanges;
    private final int maxRecords;
    // Ranges of seen numbers, from the first number (inclusive) to the end (exclusive).
    private final TreeMap<Long, Long> ranges = new TreeMap<>();
    private final LinkedHashMap<Long, V> records = new LinkedHashMap<>();
    private boolean closed;

    /**
     * Creates an empty window.
     *
     * @param maxRanges maximum number of separate ranges of seen numbers
     * @param maxRecords maximum number of records
     */
    public NumberWindow(int maxRanges, int maxRecords) {
        this.maxRanges = maxRanges;
        this.maxRecords = maxRecords;
    }

    /**
     * Tells whether a number was seen.
     *
     * @param number the number
     * @return true when {@link #take} accepted it before
     */
    public boolean isSeen(long number) {
        Map.Entry<Long, Long> range = ranges.floorEntry(number);
        return range != null && number < range.getValue();
    }

    /**
     * Returns the record of a number.
     *
     * @param number the number
     * @return the record; empty when the number was not seen or its record was evicted
     */
    public Optional<V> record(long number) {
        return Optional.ofNullable(records.get(number));
    }

    /**
     * Marks a number as seen if it is new.
     *
     * <p>A number that would exceed the maximum number of ranges closes the window for all new numbers. Its caller is
     * told "not run"; a copy of the same request that was delayed in transit must not find the gap filled and run.
     *
     * @param number the number, from 0 to {@code Long.MAX_VALUE - 1}
     * @param record the record of the number
     * @return false when the number was seen, is out of range or the window is closed
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
     * Returns the number of separate ranges of seen numbers.
     *
     * @return count of ranges, including the contiguous one from zero
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
            Long oldest = records.keySet().iterator().next();
            records.remove(oldest);
        }
    }
}
