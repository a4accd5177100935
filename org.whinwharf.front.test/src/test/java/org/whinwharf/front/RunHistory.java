package org.whinwharf.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.whinwharf.front.PausableTarget.Span;

/** What fronts have sent to targets, and what targets have run, by attempt id. */
final class RunHistory {
    private static final long NEVER = Long.MAX_VALUE;

    /** A request that a front has sent to a target, which may not have received it. */
    record Dispatch(String targetId, long sentAtMillis) {}

    /**
     * A request that a target has worked on.
     *
     * @param span time from its begin to its end, by itself, by its connection or by a kill of the target
     * @param bytesAtMillis times at which the target wrote bytes of its response
     */
    record Run(PausableTarget target, Span span, List<Long> bytesAtMillis) {
        /**
         * Returns the time of the first bytes that were written after the given time; {@link Long#MAX_VALUE} if none.
         */
        long bytesAfterMillis(long millis) {
            return bytesAtMillis.stream()
                    .filter(atMillis -> atMillis > millis)
                    .findFirst()
                    .orElse(NEVER);
        }
    }

    private record TargetStep(PausableTarget target, TargetReport report) {}

    private final Map<String, Queue<Dispatch>> dispatches = new ConcurrentHashMap<>();
    private final Map<String, Queue<TargetStep>> steps = new ConcurrentHashMap<>();

    void sent(String attemptId, String targetId) {
        dispatches
                .computeIfAbsent(attemptId, id -> new ConcurrentLinkedQueue<>())
                .add(new Dispatch(targetId, System.currentTimeMillis()));
    }

    void reported(PausableTarget target, TargetReport report) {
        steps.computeIfAbsent(report.attemptId(), id -> new ConcurrentLinkedQueue<>())
                .add(new TargetStep(target, report));
    }

    List<Dispatch> dispatches(String attemptId) {
        return List.copyOf(dispatches.getOrDefault(attemptId, new ConcurrentLinkedQueue<>()));
    }

    /** Returns the runs of an attempt, in the order in which they began. */
    List<Run> runs(String attemptId) {
        List<TargetStep> ofAttempt = List.copyOf(steps.getOrDefault(attemptId, new ConcurrentLinkedQueue<>()));
        List<Run> runs = new ArrayList<>();
        for (int i = 0; i < ofAttempt.size(); i++) {
            TargetStep step = ofAttempt.get(i);
            if (step.report().kind() == TargetReport.Kind.BEGUN) {
                runs.add(run(step, ofAttempt.subList(i + 1, ofAttempt.size())));
            }
        }
        runs.sort((a, b) -> Long.compare(a.span().fromMillis(), b.span().fromMillis()));
        return runs;
    }

    private static Run run(TargetStep begun, List<TargetStep> later) {
        long begunAtMillis = begun.report().unixMillis();
        List<Long> bytesAtMillis = new ArrayList<>();
        long endedAtMillis = begun.target().downs().stream()
                .mapToLong(Span::fromMillis)
                .filter(millis -> millis >= begunAtMillis)
                .findFirst()
                .orElse(NEVER);
        for (TargetStep step : later) {
            TargetReport report = step.report();
            if (step.target() == begun.target() && report.unixMillis() <= endedAtMillis) {
                if (report.kind() == TargetReport.Kind.BYTES) {
                    bytesAtMillis.add(report.unixMillis());
                } else {
                    endedAtMillis = report.unixMillis();
                }
            }
        }
        return new Run(begun.target(), new Span(begunAtMillis, endedAtMillis), bytesAtMillis);
    }
}
