package org.whinwharf.front;

import java.util.Optional;
import java.util.function.Consumer;
import org.whinwharf.wire.fleet.ItemsAnswer;

/** Reads published items from peers. */
interface PeerItemSource {
    /**
     * Requests from a peer the items that changed after the local revision.
     *
     * @param ip IP address of the peer
     * @param port port on which the peer serves items
     * @param waitMillis time in milliseconds for which the peer may hold the request until an item changes; 0 requests
     *     an immediate answer
     * @param callback receives the answer, or empty when the request fails or times out
     */
    void requestChanges(String ip, int port, long waitMillis, Consumer<Optional<ItemsAnswer>> callback);

    /** Notifies waiting peers that local items changed. */
    void itemsChanged();
}
