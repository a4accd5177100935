package org.whinwharf.platform.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Figures of a play, in one line. */
final class FleetSummary {
    private FleetSummary() {}

    /** Returns the counts of breaches by rule, of answers by end and status, and of runs by end. */
    static String of(long seed, FleetHistory history, List<String> breaches) {
        Map<String, Long> rules = count(breaches.stream()
                .map(text -> text.lines().findFirst().orElse("").split(" ")[0])
                .toList());
        Map<String, Long> answers = count(history.answers().stream()
                .map(answer -> answer.end() + " " + answer.status())
                .toList());
        Map<String, Long> runs = count(history.runs().stream()
                .map(run -> run.end() + " " + run.status())
                .toList());
        long closedStreams = history.answers().stream()
                .filter(answer ->
                        answer.kind().streaming() && answer.status() == 200 && answer.end() == CallerAnswer.End.CLOSED)
                .count();
        long resumed = history.answers().stream()
                .filter(answer -> !answer.firstAttemptId().isEmpty())
                .count();
        long elsewhere = history.answers().stream()
                .filter(answer -> answer.status() == 200 && answer.end() != CallerAnswer.End.COMPLETE)
                .filter(answer -> history.runWithSeal(answer.seal())
                        .filter(run -> run.status() != 200)
                        .isPresent())
                .count();
        long wholeWithoutEnd = history.answers().stream()
                .filter(answer -> answer.kind().streaming() && answer.end() == CallerAnswer.End.CLOSED)
                .filter(answer -> answer.body().contains("id: " + AttemptKind.events(answer.path()) + "\n"))
                .count();
        return "seed " + seed + ": breaches " + rules + ", answers " + answers + ", runs " + runs
                + ", streams with a success and a closed channel " + closedStreams + ", resumed attempts " + resumed
                + ", streams with all events and a closed channel " + wholeWithoutEnd
                + ", incomplete successes whose run has another status " + elsewhere;
    }

    /**
     * Returns how streams that may be resumed went on, in one line.
     *
     * @param joins breaches of the rule that a stream has events of one version
     */
    static String ofTakeUps(FleetHistory history, List<String> joins) {
        Map<String, List<WorkerRun>> runs =
                history.runs().stream().collect(Collectors.groupingBy(WorkerRun::attemptId));
        List<CallerAnswer> answers = history.answers().stream()
                .filter(answer -> answer.kind() == AttemptKind.RESUMABLE)
                .toList();
        long streams = answers.stream().map(CallerAnswer::path).distinct().count();
        List<CallerAnswer> interrupted = answers.stream()
                .filter(answer -> answer.status() == 200 && answer.end() != CallerAnswer.End.LEFT)
                .filter(answer -> runs.getOrDefault(answer.attemptId(), List.of()).stream()
                        .anyMatch(run -> run.status() == 200
                                && (run.end() == WorkerRun.End.BROKEN_OFF || run.end() == WorkerRun.End.CRASHED)
                                && !run.body().isEmpty()))
                .toList();
        long takenUp = interrupted.stream()
                .filter(answer -> runs.get(answer.attemptId()).stream()
                        .anyMatch(run -> run.status() == 200 && run.afterEvent() > answer.afterEvent()))
                .count();
        long wholeAfterwards =
                interrupted.stream().filter(CallerAnswer::succeeded).count();
        List<CallerAnswer> resumed = answers.stream()
                .filter(answer -> !answer.firstAttemptId().isEmpty() && answer.end() != CallerAnswer.End.LEFT)
                .toList();
        long goneOn = resumed.stream().filter(answer -> answer.status() == 200).count();
        List<List<CallerAnswer>> brokenStreams = FleetChecks.streams(history).stream()
                .filter(attempts -> attempts.get(0).kind() == AttemptKind.RESUMABLE
                        && attempts.stream().noneMatch(answer -> answer.end() == CallerAnswer.End.LEFT)
                        && attempts.stream()
                                .anyMatch(answer -> answer.end() == CallerAnswer.End.CLOSED
                                                && !answer.body().isEmpty()
                                        || interrupted.contains(answer)))
                .toList();
        long wholeInTheEnd = brokenStreams.stream()
                .filter(attempts -> attempts.get(attempts.size() - 1).succeeded()
                        && FleetChecks.joined(attempts).isEmpty())
                .count();
        long within = joins.stream()
                .filter(text -> text.lines().findFirst().orElse("").endsWith(FleetChecks.WITHIN_ATTEMPT))
                .count();
        return "streams " + streams + ", attempts whose run broke off behind an event " + interrupted.size()
                + ", of these taken up by another run " + takenUp + " and whole " + wholeAfterwards
                + ", streams broken off once or more " + brokenStreams.size()
                + ", of these whole in the end and of one version " + wholeInTheEnd + ", attempts that resume "
                + resumed.size() + ", of these with a success " + goneOn + ", joins "
                + joins.size() + ", of these within an attempt " + within;
    }

    /**
     * Returns how many attempts to resume, and of how many streams, were sent soon after some moments, and succeeded.
     */
    static String ofTakeUpsAfter(FleetHistory history, List<Long> momentsNanos, long withinNanos) {
        List<CallerAnswer> resumed = history.answers().stream()
                .filter(answer -> answer.kind() == AttemptKind.RESUMABLE
                        && !answer.firstAttemptId().isEmpty()
                        && answer.end() != CallerAnswer.End.LEFT)
                .filter(answer -> momentsNanos.stream()
                        .map(moment -> answer.sentNanos() - moment)
                        .anyMatch(since -> since >= 0 && since < withinNanos))
                .toList();
        List<CallerAnswer> goneOn =
                resumed.stream().filter(answer -> answer.status() == 200).toList();
        return "joint kills " + momentsNanos.size() + ", attempts that resume after them " + resumed.size()
                + ", of these with a success " + goneOn.size() + ", streams of these attempts " + countPaths(resumed)
                + ", of these gone on " + countPaths(goneOn);
    }

    private static long countPaths(List<CallerAnswer> answers) {
        return answers.stream().map(CallerAnswer::path).distinct().count();
    }

    private static Map<String, Long> count(List<String> keys) {
        return keys.stream().collect(Collectors.groupingBy(key -> key, TreeMap::new, Collectors.counting()));
    }
}
