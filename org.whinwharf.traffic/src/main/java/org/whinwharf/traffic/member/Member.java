package org.whinwharf.traffic.member;

import org.whinwharf.wire.fleet.MemberReport;

/**
 * What this process last heard of another one.
 *
 * @param report the other's own words; its phase is the newest heard
 * @param heartbeatSequence sequence of its newest sign of life, which may be younger than the report
 * @param receivedAtMillis steady time at which that was news here
 */
public record Member(MemberReport report, long heartbeatSequence, long receivedAtMillis) {}
