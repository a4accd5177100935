package org.whinwharf.wire.peer;

import org.whinwharf.wire.message.Frame;

/** Receives what happens on links. Called by network threads, so it only hands over to a ring. */
public interface PeerListener {
    /**
     * Reports a link on which both sides have said hello.
     *
     * @param link the link
     */
    void linkUp(PeerLink link);

    /**
     * Reports a frame other than hello.
     *
     * @param link where it came from
     * @param frame the frame
     */
    void received(PeerLink link, Frame frame);

    /**
     * Reports that a link is gone for good; a later connection is another link.
     *
     * @param link the link
     * @param reason why, for the log
     */
    void linkDown(PeerLink link, String reason);

    /**
     * Reports that an attempt to connect to a wanted peer failed; another one follows by itself.
     *
     * @param peer the peer
     */
    default void unreachable(PeerAddress peer) {}
}
