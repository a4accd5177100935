package org.whinwharf.front;

import java.util.Optional;

/**
 * How a request is sent to one target.
 *
 * @param targetId id that the target must have, so that another one at a reused address refuses it
 * @param organisation name of the caller's organisation; empty on public routes
 * @param remainingMillis time left until the target must stop work
 * @param lastEventId id of the last event that the caller has; empty for a new run
 */
public record DispatchParameters(
        String targetId, Optional<String> organisation, long remainingMillis, Optional<String> lastEventId) {}
