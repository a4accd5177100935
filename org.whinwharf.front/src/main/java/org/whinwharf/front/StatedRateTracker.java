package org.whinwharf.front;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.whinwharf.traffic.rate.RateStatement;
import org.whinwharf.traffic.target.Target;

/** Records the rates of requests that targets state in their answers to this process. */
final class StatedRateTracker {
    private final Map<String, RateStatement> limits = new HashMap<>();

    /** Records what the head of an answer says. */
    void answered(TargetRun run, ResponseHead head) {
        RateStatement statement = head.rateStatement();
        Target target = run.target();
        RateStatement before = limits.getOrDefault(target.id(), RateStatement.NONE);
        if (head.wrongTarget() || statement.equals(before) || statement.kind() == RateStatement.Kind.UNREADABLE) {
            return;
        }
        if (statement.limited()) {
            limits.put(target.id(), statement);
        } else {
            limits.remove(target.id());
        }
        FrontLog.statedRateChanged(target.service(), target.id(), rate(before), rate(statement), "", 0);
    }

    private static OptionalDouble rate(RateStatement statement) {
        return statement.limited() ? OptionalDouble.of(statement.requestsPerSecond()) : OptionalDouble.empty();
    }

    /** Returns the rate that a target has stated; empty if it takes any number of requests. */
    OptionalDouble rateOf(String targetId) {
        return limits.isEmpty() ? OptionalDouble.empty() : rate(limits.getOrDefault(targetId, RateStatement.NONE));
    }

    /** Returns the number of targets that have stated a rate. */
    int limitedTargets() {
        return limits.size();
    }
}
