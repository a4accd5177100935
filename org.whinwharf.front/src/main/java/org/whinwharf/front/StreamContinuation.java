package org.whinwharf.front;

import java.util.Optional;
import java.util.Set;
import org.whinwharf.traffic.target.Target;

/**
 * The service and software version at which one request's stream must continue.
 *
 * <p>Before the first event reaches the caller, any version will do. From then on, only targets of the version that
 * sent it are suitable.
 */
final class StreamContinuation {
    private final Front front;
    /** The target that sent the first event, as it was published when the request was sent. */
    private Optional<Target> origin = Optional.empty();

    StreamContinuation(Front front) {
        this.front = front;
    }

    /** Records that a target sends the first event of the stream. */
    void began(TargetRun run) {
        origin = Optional.of(run.target());
    }

    /** Tells whether the stream has begun, so that only some targets are suitable. */
    boolean isBound() {
        return origin.isPresent();
    }

    /** Returns the version at which the stream must continue; empty if any target is suitable. */
    Optional<String> requiredVersion() {
        return origin.map(Target::version);
    }

    /** Tells whether a target is suitable. */
    boolean accepts(Target target) {
        return origin.map(known -> known.version().equals(target.version())).orElse(true);
    }

    /** Tells whether any suitable target is left, outside of the given sets, that may get requests sooner or later. */
    boolean isPossible(Set<String> triedTargetIds, Set<String> pathlessTargetIds) {
        return origin.map(known -> front.hasTarget(known.service(), known.version(), triedTargetIds, pathlessTargetIds))
                .orElse(true);
    }
}
