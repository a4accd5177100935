package org.whinwharf.platform.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Records of both sides.
 *
 * @param runs records of the workers
 * @param answers records of the callers
 */
record FleetHistory(List<WorkerRun> runs, List<CallerAnswer> answers) {
    /** Returns what workers recorded of an attempt, in order of arrival. */
    List<WorkerRun> runsOf(String attemptId) {
        return runs.stream()
                .filter(run -> run.attemptId().equals(attemptId))
                .sorted(Comparator.comparingLong(WorkerRun::beganNanos))
                .toList();
    }

    /** Returns the run whose answer bears a seal. */
    Optional<WorkerRun> runWithSeal(String seal) {
        return runs.stream().filter(run -> run.seal().equals(seal)).findFirst();
    }

    /** Returns both sides' records of an attempt as text, one a line. */
    String describe(String attemptId) {
        return answers.stream()
                        .filter(answer -> answer.attemptId().equals(attemptId))
                        .map(answer -> "\n  caller " + answer)
                        .collect(Collectors.joining())
                + runsOf(attemptId).stream().map(run -> "\n  worker " + run).collect(Collectors.joining());
    }
}
