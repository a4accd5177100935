package org.whinwharf.traffic.stream;

/**
 * The process that the entry of a target named when a stream began over a connection to that target. Another one may
 * have answered there, which was not published yet.
 *
 * @param targetId id of the target
 * @param startedUnixMillis start that the entry named, in Unix time by the target's clock; 0 if it named none
 * @param connectedAtMillis monotonic time of this host in milliseconds at which the connection was established, or
 *     later
 */
public record OriginProcess(String targetId, long startedUnixMillis, long connectedAtMillis) {}
