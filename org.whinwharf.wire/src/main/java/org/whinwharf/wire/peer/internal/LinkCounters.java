package org.whinwharf.wire.peer.internal;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.whinwharf.wire.peer.PeerCounters;
import org.whinwharf.wire.peer.PeerEvent;

/** Counters that network threads add to. */
public final class LinkCounters implements PeerCounters {
    private final Map<PeerEvent, LongAdder> adders = new EnumMap<>(PeerEvent.class);

    /** Makes counters that stand at 0. */
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

    void add(PeerEvent event, long number) {
        adders.get(event).add(number);
    }
}
