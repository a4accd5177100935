package org.whinwharf.wire.peer;

import org.whinwharf.wire.message.Role;

/**
 * Address at which a process on another host accepts peer connections.
 *
 * @param host name of the host in the host list
 * @param role role of the process
 * @param address IP address
 * @param port TCP port
 */
public record PeerAddress(String host, Role role, String address, int port) {}
