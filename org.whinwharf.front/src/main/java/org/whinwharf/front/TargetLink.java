package org.whinwharf.front;

import java.util.function.Consumer;

/** The way on which a connection reaches its target: directly or through a peer. */
interface TargetLink {
    /** Tells whether the target has ended its side of the connection, or the connection is closed. */
    boolean inputEnded();

    /** Tells whether the way can be used for a further request, apart from the state of the connection. */
    boolean usable();

    /** Returns the failure that a loss of the connection means. */
    TargetFailure lossCause();

    /**
     * Finds out whether the target has reset the connection after it had ended its side, as its system does if the
     * target leaves bytes unread.
     *
     * @param consumer receives the result on the event loop
     */
    void checkReset(Consumer<Boolean> consumer);

    /** Returns the name of the peer that relays the connection; empty for a direct one. */
    String peerName();
}
