package org.whinwharf.front;

import java.util.Optional;

/**
 * Parameters with which a request is dispatched to one target.
 *
 * @param targetId id of the intended target, by which another target at a reused address rejects the request
 * @param organisation name of the caller's organisation; empty on public routes
 * @param remainingMillis time in milliseconds after which the target must stop working on the request
 * @param lastEventId id of the last event that the caller received; empty for a new stream
 */
public record DispatchParameters(
        String targetId, Optional<String> organisation, long remainingMillis, Optional<String> lastEventId) {}
