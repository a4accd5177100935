package org.whinwharf.home;

/**
 * Target that a request was sent to, and its identifier there.
 *
 * @param target name of the target
 * @param address IP address of the target
 * @param port TCP port of the target
 * @param stream identifier of the request at the target
 */
public record RequestLocation(String target, String address, int port, String stream) {}
