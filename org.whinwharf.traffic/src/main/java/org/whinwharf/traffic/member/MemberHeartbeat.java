package org.whinwharf.traffic.member;

import org.whinwharf.wire.fleet.MemberPhase;

/**
 * A sign of life of a process, short enough that all of a fleet of a hundred fit into one datagram.
 *
 * @param nameDigest digest of the name of the process
 * @param incarnationDigest digest of its incarnation
 * @param sequence number of its report
 * @param phase what it does
 */
public record MemberHeartbeat(int nameDigest, int incarnationDigest, long sequence, MemberPhase phase) {}
