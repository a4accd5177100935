package org.whinwharf.owner;

/**
 * One start of the entry process of a host.
 *
 * @param host name of the host
 * @param incarnation number drawn at the start of the process
 */
public record ProcessId(String host, long incarnation) {}
