package org.whinwharf.traffic.coordination;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.whinwharf.traffic.crash.Assessment;
import org.whinwharf.traffic.crash.CrashLedger;
import org.whinwharf.traffic.crash.Fingerprint;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.target.TargetState;

/**
 * Keeps requests under which targets may have crashed apart from each other.
 *
 * <p>A target that crashes loses all its requests, of which one at most is to blame. They are sent to targets of their
 * own each: two that went to the same target would lose it together, and the harmless one would be blamed again. One
 * request is sent to one target at a time, whichever process received it, since only the end of the run shows whether
 * it may be sent again. Weak suspects are many after the loss of a rack, so they share targets if there are too few.
 */
final class SuspectIsolation {
    /** Minimum share of a service's targets in use for which any is risked: all of a few may be lost otherwise. */
    private static final double MIN_USABLE_SHARE = 1 / 3.0;

    private final RunningRequests running;
    private final CrashLedger crashes;

    /**
     * Creates the isolation for the requests of one service.
     *
     * @param running requests of the service in flight
     * @param crashes requests under which targets have crashed
     */
    SuspectIsolation(RunningRequests running, CrashLedger crashes) {
        this.running = running;
        this.crashes = crashes;
    }

    /**
     * Tells whether a suspect has to wait until more is known of its last run, until another run of it has ended, or
     * until more targets are in use.
     */
    boolean mustWait(Fingerprint suspect, Assessment assessment, Collection<TargetState> targets, long nowMillis) {
        if (!assessment.strongSuspect()) {
            return false;
        }
        boolean runs = running.suspects().stream()
                .anyMatch(run -> run.suspect().orElseThrow().equals(suspect));
        long usable = targets.stream().filter(state -> state.usable(nowMillis)).count();
        return nowMillis < assessment.settlesAtMillis()
                || runs
                || targets.size() > 1 && usable <= targets.size() * MIN_USABLE_SHARE;
    }

    /** Returns the requirements that a request may be placed by, the preferred ones first. */
    List<Demand> alternatives(Demand demand, Assessment assessment, long nowMillis) {
        if (!assessment.suspect()) {
            return List.of(demand);
        }
        ImmutableDemand apart = withoutTargets(demand, run -> true);
        return assessment.strongSuspect()
                ? List.of(apart.withSuspect(true))
                : List.of(apart, withoutTargets(demand, run -> isStrongSuspect(run, nowMillis)));
    }

    private boolean isStrongSuspect(RunningRequests.Run run, long nowMillis) {
        return crashes.assess(run.suspect().orElseThrow(), nowMillis).strongSuspect();
    }

    private ImmutableDemand withoutTargets(Demand demand, Predicate<RunningRequests.Run> ofSuspects) {
        Set<String> excluded = new HashSet<>(demand.triedTargets());
        running.suspects().stream().filter(ofSuspects).forEach(run -> excluded.add(run.targetId()));
        return ImmutableDemand.copyOf(demand).withTriedTargets(excluded);
    }
}
