package org.whinwharf.home;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.whinwharf.ticket.NumberWindow;
import org.whinwharf.ticket.Ticket;

/** Numbers seen under each ticket that has not run out. */
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
     * Finds or opens the window of a ticket; nothing when there is no room.
     *
     * <p>A caller whose ticket found no room is told "not run". A copy of its request that was delayed on the way could
     * find room later and run after all. So no ticket that runs out as early as one that was turned away gets a window
     * any more; a new ticket does.
     */
    Optional<NumberWindow<NumberRecord>> open(Ticket ticket) {
        Optional<NumberWindow<NumberRecord>> known = find(ticket);
        if (known.isPresent()) {
            return known;
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

    /** What is recorded for a number: the request it became and what was asked. */
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
