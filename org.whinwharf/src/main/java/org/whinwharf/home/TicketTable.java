package org.whinwharf.home;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.whinwharf.ticket.NumberWindow;
import org.whinwharf.ticket.Ticket;

/** Request numbers seen under each unexpired ticket. */
final class TicketTable {
    private static final int MAX_RANGES = 64;
    private static final int MAX_RECORDS = 256;

    private final int maxTickets;
    private final Map<Key, NumberWindow<NumberRecord>> windows = new HashMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();
    private long rejectedUntilMillis = Long.MIN_VALUE;

    TicketTable(int maxTickets) {
        this.maxTickets = maxTickets;
    }

    Optional<NumberWindow<NumberRecord>> find(Ticket ticket) {
        return Optional.ofNullable(windows.get(Key.of(ticket)));
    }

    /**
     * Finds or opens the window of a ticket; empty when the table is full.
     *
     * <p>A caller whose ticket is rejected is told "not run". A copy of its request that was delayed in transit could
     * find space later and run after all. Therefore a ticket that expires no later than a rejected one gets no window
     * any more; a new ticket, which expires later, does.
     */
    Optional<NumberWindow<NumberRecord>> open(Ticket ticket) {
        Optional<NumberWindow<NumberRecord>> existing = find(ticket);
        if (existing.isPresent()) {
            return existing;
        }
        if (windows.size() >= maxTickets || ticket.expiresAtMillis() <= rejectedUntilMillis) {
            rejectedUntilMillis = Math.max(rejectedUntilMillis, ticket.expiresAtMillis());
            return Optional.empty();
        }
        NumberWindow<NumberRecord> window = new NumberWindow<>(MAX_RANGES, MAX_RECORDS);
        windows.put(Key.of(ticket), window);
        expiries.add(new Expiry(ticket.expiresAtMillis(), Key.of(ticket)));
        return Optional.of(window);
    }

    void expire(long nowMillis) {
        while (!expiries.isEmpty() && expiries.peek().atMillis() <= nowMillis) {
            windows.remove(expiries.poll().key());
        }
    }

    /** Record of a number: the request that was submitted under it and the digest of its content. */
    record NumberRecord(long sequence, long contentDigest) {}

    private record Key(long idHigh, long idLow) {
        static Key of(Ticket ticket) {
            return new Key(ticket.idHigh(), ticket.idLow());
        }
    }

    private record Expiry(long atMillis, Key key) implements Comparable<Expiry> {
        @Override
        public int compareTo(Expiry other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
