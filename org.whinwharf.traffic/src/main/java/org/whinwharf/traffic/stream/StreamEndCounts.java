package org.whinwharf.traffic.stream;

/**
 * Latest streams that one process received from the targets of a service.
 *
 * @param declared streams whose responses told where they end
 * @param undeclared streams that ended with their connection
 */
public record StreamEndCounts(int declared, int undeclared) {}
