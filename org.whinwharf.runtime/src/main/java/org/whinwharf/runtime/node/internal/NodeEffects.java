package org.whinwharf.runtime.node.internal;

import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;
import org.whinwharf.wire.peer.PeerAddress;

/** What a {@link NodeCore} has its surroundings do. */
public interface NodeEffects {
    /**
     * Connects to a peer.
     *
     * @param peer the peer
     */
    void connect(PeerAddress peer);

    /**
     * Gives a peer up.
     *
     * @param peer the peer
     */
    void disconnect(PeerAddress peer);

    /**
     * Tells of another document in force.
     *
     * @param document the document
     */
    void documentChanged(DocumentView document);

    /**
     * Tells of another membership.
     *
     * @param membership the membership
     */
    void membershipChanged(Membership membership);
}
