package org.whinwharf.traffic.member;

import org.whinwharf.wire.fleet.MemberPhase;

/**
 * A heartbeat of a process. It is small enough that the heartbeats of a hundred processes fit into one datagram.
 *
 * @param nameDigest digest of the name of the process
 * @param incarnationDigest digest of the incarnation of the process
 * @param sequence sequence number of the report that the heartbeat stands for
 * @param phase lifecycle phase of the process
 */
public record MemberHeartbeat(int nameDigest, int incarnationDigest, long sequence, MemberPhase phase) {}
