package org.whinwharf.pgm.internal.fleet;

import java.util.Optional;
import org.whinwharf.wire.status.NodeStatus;

/**
 * What one process said of itself.
 *
 * @param host name of its host
 * @param role entry, scheduler or steward
 * @param status its status; empty when it did not answer
 * @param reason why it did not answer; empty when it did
 */
public record Reading(String host, String role, Optional<NodeStatus> status, String reason) {}
