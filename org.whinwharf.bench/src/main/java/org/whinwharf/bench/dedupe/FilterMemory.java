package org.whinwharf.bench.dedupe;

/** One age-partitioned filter for all tickets of a home. */
final class FilterMemory implements DedupeMemory {
    private final AgePartitionedFilter filter;

    FilterMemory(AgePartitionedFilter filter) {
        this.filter = filter;
    }

    @Override
    public boolean take(long ticket, long number) {
        if (filter.seen(ticket, number)) {
            return false;
        }
        filter.add(ticket, number);
        return true;
    }

    @Override
    public void expire(long ticket) {
        // Keys leave the filter by age alone.
    }

    @Override
    public long bytes() {
        return filter.bytes();
    }
}
