package org.whinwharf.wire.peer;

/** Readings of what a peer network has counted since its start. Safe for use by several threads. */
@FunctionalInterface
public interface PeerCounters {
    /**
     * Reads a counter.
     *
     * @param event what was counted
     * @return count since the start
     */
    long count(PeerEvent event);
}
