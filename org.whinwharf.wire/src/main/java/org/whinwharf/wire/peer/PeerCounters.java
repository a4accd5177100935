package org.whinwharf.wire.peer;

/** Event counters of a peer network since its start. Thread-safe. */
@FunctionalInterface
public interface PeerCounters {
    /**
     * Returns the value of a counter.
     *
     * @param event the counted event
     * @return value since the start of the network
     */
    long count(PeerEvent event);
}
