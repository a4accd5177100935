package org.whinwharf.wire.peer.internal;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.whinwharf.wire.peer.PeerCounters;
import org.whinwharf.wire.peer.PeerEvent;

/** Event counters that network threads increment. */
public final class LinkCounters implements PeerCounters {
    private final Map<PeerEvent, LongAdder> adders = new EnumMap<>(PeerEvent.class);

    /** Creates counters that start at 0. */
    public LinkCounters() {
        for (PeerEvent event : PeerEvent.values()) {
            adders.put(event, new LongAdder());
        }
    }

    @Override
    public long count(PeerEvent event) {
        return adders.get(event).sum();
    }

    void add(PeerEvent event) {
        adders.get(event).increment();
    }

    void add(PeerEvent event, long amount) {
        adders.get(event).add(amount);
    }
}
