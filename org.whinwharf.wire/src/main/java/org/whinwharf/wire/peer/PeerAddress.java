package org.whinwharf.wire.peer;

import org.whinwharf.wire.message.Role;

/**
 * Where a process of another host listens for its peers.
 *
 * @param host name of the host in the host list
 * @param role role of the process
 * @param address IP number
 * @param port TCP port
 */
public record PeerAddress(String host, Role role, String address, int port) {}
