package org.whinwharf.wire.peer;

import org.whinwharf.wire.message.Frame;

/**
 * Receives events of links. Network threads call it, so an implementation only passes the event on to a ring buffer.
 */
public interface PeerListener {
    /**
     * Reports a link whose hello handshake is complete.
     *
     * @param link the link
     */
    void linkUp(PeerLink link);

    /**
     * Reports a received frame other than hello.
     *
     * @param link link on which the frame arrived
     * @param frame the frame
     */
    void received(PeerLink link, Frame frame);

    /**
     * Reports that a link is permanently closed; a later connection to the same peer is a new link.
     *
     * @param link the link
     * @param reason reason for the log
     */
    void linkDown(PeerLink link, String reason);

    /**
     * Reports that an attempt to connect to a peer failed. The network retries automatically.
     *
     * @param peer the peer
     */
    default void unreachable(PeerAddress peer) {}
}
