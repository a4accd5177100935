package org.whinwharf.traffic.member;

import org.whinwharf.wire.fleet.MemberReport;

/**
 * What this process last heard of another one.
 *
 * @param report the other's own words
 * @param heardAtMillis steady time at which they were news here
 */
public record Member(MemberReport report, long heardAtMillis) {}
