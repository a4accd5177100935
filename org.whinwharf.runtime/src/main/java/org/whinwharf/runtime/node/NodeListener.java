package org.whinwharf.runtime.node;

import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;

/** Receives changes of what a node knows. Called by the node's thread, so it only hands over to a ring. */
public interface NodeListener {
    /**
     * Reports another document in force. The first call comes before the first membership.
     *
     * @param document the document
     */
    default void documentChanged(DocumentView document) {}

    /**
     * Reports another membership: another host list, or another document that sees the list differently.
     *
     * @param membership the membership
     */
    default void membershipChanged(Membership membership) {}
}
