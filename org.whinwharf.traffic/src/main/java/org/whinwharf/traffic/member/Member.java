package org.whinwharf.traffic.member;

import org.whinwharf.wire.fleet.MemberReport;

/**
 * The latest state received about another process.
 *
 * @param report the process's report about itself, with its phase updated by newer heartbeats
 * @param heartbeatSequence sequence number of its newest heartbeat, which may be newer than the report
 * @param receivedAtMillis monotonic time in milliseconds at which this process received that heartbeat
 */
public record Member(MemberReport report, long heartbeatSequence, long receivedAtMillis) {}
