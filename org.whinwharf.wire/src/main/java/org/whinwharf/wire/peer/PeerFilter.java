package org.whinwharf.wire.peer;

import org.whinwharf.wire.message.Hello;

/**
 * Decides which processes may be peers, by the published host list. Called by network threads, so it must not block.
 */
public interface PeerFilter {
    /**
     * Decides whether a connection from an address is worth a hello.
     *
     * @param address IP number of the other side
     * @return false to close the connection at once
     */
    boolean admitsAddress(String address);

    /**
     * Decides whether a process may be a peer.
     *
     * @param hello what the other side says of itself
     * @param address IP number from which it says so
     * @return false to close the connection
     */
    boolean admits(Hello hello, String address);
}
