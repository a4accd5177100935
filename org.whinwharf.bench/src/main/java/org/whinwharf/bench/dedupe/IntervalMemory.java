package org.whinwharf.bench.dedupe;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.ticket.NumberWindow;

/** Contiguous interval and stragglers of each ticket, as the entry hosts hold them. */
final class IntervalMemory implements DedupeMemory {
    private static final int TICKET_BYTES = 2 * Long.BYTES;
    private static final int RANGE_BYTES = 2 * Long.BYTES;

    private final int maxRanges;
    private final Map<Long, NumberWindow<Boolean>> windows = new HashMap<>();

    IntervalMemory(int maxRanges) {
        this.maxRanges = maxRanges;
    }

    @Override
    public boolean take(long ticket, long number) {
        return windows.computeIfAbsent(ticket, id -> new NumberWindow<>(maxRanges, 0))
                .take(number, Boolean.TRUE);
    }

    @Override
    public void expire(long ticket) {
        windows.remove(ticket);
    }

    @Override
    public long bytes() {
        return windows.values().stream()
                .mapToLong(window -> TICKET_BYTES + (long) RANGE_BYTES * window.rangeCount())
                .sum();
    }
}
