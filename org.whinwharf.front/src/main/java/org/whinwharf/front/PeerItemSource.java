package org.whinwharf.front;

import java.util.Optional;
import java.util.function.Consumer;
import org.whinwharf.wire.fleet.ItemsAnswer;

/** Peers, as a source of published items. */
interface PeerItemSource {
    /**
     * Asks a peer for what changed.
     *
     * @param ip its IP number
     * @param port its port for items
     * @param waitMillis time that it may wait for a change; 0 for an answer at once
     * @param taker gets the answer; empty when the peer does not answer
     */
    void requestChanges(String ip, int port, long waitMillis, Consumer<Optional<ItemsAnswer>> taker);

    /** Tells that items changed here, for peers that wait. */
    void itemsChanged();
}
