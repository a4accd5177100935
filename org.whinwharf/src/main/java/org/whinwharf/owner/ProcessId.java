package org.whinwharf.owner;

/**
 * Identity of one start of an entry process or scheduler.
 *
 * @param host name of the host
 * @param incarnation number generated at the start of the process
 */
public record ProcessId(String host, long incarnation) {}
