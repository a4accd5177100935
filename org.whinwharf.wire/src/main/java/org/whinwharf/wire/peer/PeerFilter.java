package org.whinwharf.wire.peer;

import org.whinwharf.wire.message.Hello;

/** Decides from the published host list which processes may be peers. Network threads call it, so it must not block. */
public interface PeerFilter {
    /**
     * Decides whether a connection from an address may proceed to the hello handshake.
     *
     * @param address IP address of the remote process
     * @return false to close the connection at once
     */
    boolean admitsAddress(String address);

    /**
     * Decides whether a process may be a peer.
     *
     * @param hello hello that the remote process sent
     * @param address IP address from which the hello was sent
     * @return false to close the connection
     */
    boolean admits(Hello hello, String address);
}
