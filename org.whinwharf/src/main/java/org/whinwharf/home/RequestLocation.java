package org.whinwharf.home;

/**
 * Where a request was sent.
 *
 * @param target name of the target
 * @param address IP number of the target
 * @param port TCP port of the target
 * @param stream identifier of the request at the target
 */
public record RequestLocation(String target, String address, int port, String stream) {}
