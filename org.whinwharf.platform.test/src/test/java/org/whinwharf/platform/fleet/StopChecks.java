package org.whinwharf.platform.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Checks of the rules around the stops of fronts; each returns the breaches with their histories. */
final class StopChecks {
    /** Time after the grace time in which a stop still accounts for a request that is cut. */
    private static final long AFTER_GRACE_MILLIS = 1_000;
    /** Time after a SIGTERM up to which requests may be sent that long work at their worker excuses. */
    private static final long EXCUSED_SENT_MILLIS = 3_000;
    /** Begin of the last sixth of the grace time. */
    private static final long LAST_SIXTH_MILLIS = FrontStop.GRACE_MILLIS * 5 / 6;
    /** Time after its last byte within which a request that is not passed on may cross the end of its connection. */
    private static final long LOSS_SLACK_MILLIS = 200;
    /** Time in which a configuration, or settings after a hang-up, come into force. */
    private static final long APPLY_MILLIS = 2_000;
    /** Time after a SIGTERM in which callers can't know of it yet. */
    private static final long UNKNOWN_MILLIS = 2_500;

    private static final int MILLIS_PER_SECOND = 1_000;
    private static final String REFUSAL = "host-leaving";

    private StopChecks() {}

    /** Why a connection may have ended without a complete answer. */
    private enum Cut {
        /** Against the rule. */
        LOST,
        /** The worker broke off. */
        BROKEN_OFF,
        /** The request was sent early in the stop, and its worker was at work until late in the grace time. */
        LONG_WORK,
        /** The request crossed the end of the connection. */
        CROSSED,
        /** The last byte was not sent. */
        NOT_WHOLE,
        /** No stop and no hang-up accounts for it. */
        UNPLANNED
    }

    /** Checks that requests which a front has read whole are not cut around its stops and hang-ups (LOST). */
    static List<String> lost(StopHistory history) {
        List<String> breaches = new ArrayList<>();
        cuts(history).forEach((answer, cut) -> {
            if (cut == Cut.LOST) {
                breaches.add("LOST "
                        + describe(
                                answer,
                                stopAround(history, answer),
                                history.fleet().runsOf(answer.attemptId()))
                        + history.fleet().describe(answer.attemptId()));
            }
        });
        return breaches;
    }

    private static Map<CallerAnswer, Cut> cuts(StopHistory history) {
        Map<CallerAnswer, Cut> cuts = new LinkedHashMap<>();
        history.fleet().answers().stream()
                .filter(answer -> answer.end() == CallerAnswer.End.CLOSED)
                .forEach(answer ->
                        cuts.put(answer, cut(history, answer, history.fleet().runsOf(answer.attemptId()))));
        return cuts;
    }

    private static Cut cut(StopHistory history, CallerAnswer answer, List<WorkerRun> runs) {
        if (answer.upload().lastByteNanos().isEmpty()) {
            return Cut.NOT_WHOLE;
        }
        long lastByteNanos = answer.upload().lastByteNanos().getAsLong();
        if (runs.isEmpty() && TimeUnit.NANOSECONDS.toMillis(answer.endedNanos() - lastByteNanos) <= LOSS_SLACK_MILLIS) {
            return Cut.CROSSED;
        }
        if (!runs.isEmpty() && brokeOff(runs.get(runs.size() - 1))) {
            return Cut.BROKEN_OFF;
        }
        Optional<FrontStop> stop = stopAround(history, answer);
        if (stop.isEmpty()) {
            return followsHangUp(history, answer) ? Cut.LOST : Cut.UNPLANNED;
        }
        boolean longWork = stop.get().millisUntil(lastByteNanos) <= EXCUSED_SENT_MILLIS
                && runs.stream()
                        .anyMatch(run -> run.end() == WorkerRun.End.RUNNING
                                || stop.get().millisUntil(run.endedNanos()) >= LAST_SIXTH_MILLIS);
        return longWork ? Cut.LONG_WORK : Cut.LOST;
    }

    private static boolean brokeOff(WorkerRun run) {
        return run.end() == WorkerRun.End.BROKEN_OFF || run.end() == WorkerRun.End.CRASHED;
    }

    /** Returns the stop of the answer's front in which the answer ended. */
    private static Optional<FrontStop> stopAround(StopHistory history, CallerAnswer answer) {
        return history.stops().stream()
                .filter(stop -> stop.frontIp().equals(answer.frontIp())
                        && stop.millisUntil(answer.endedNanos()) >= 0
                        && stop.millisUntil(answer.endedNanos()) <= FrontStop.GRACE_MILLIS + AFTER_GRACE_MILLIS)
                .findFirst();
    }

    private static boolean followsHangUp(StopHistory history, CallerAnswer answer) {
        return history.hangUps().stream()
                .anyMatch(hangUp -> hangUp.frontIp().equals(answer.frontIp())
                        && answer.endedNanos() >= hangUp.atNanos()
                        && answer.sentNanos() <= hangUp.atNanos() + TimeUnit.MILLISECONDS.toNanos(APPLY_MILLIS));
    }

    private static String describe(CallerAnswer answer, Optional<FrontStop> stop, List<WorkerRun> runs) {
        String times = stop.map(known -> String.format(
                        Locale.ROOT,
                        "%s, first byte sent at %d ms, last at %d ms, cut at %d ms",
                        known.frontName(),
                        known.millisUntil(answer.sentNanos()),
                        known.millisUntil(answer.upload().lastByteNanos().orElseThrow()),
                        known.millisUntil(answer.endedNanos())))
                .orElse("after a hang-up of " + answer.frontIp());
        String passedOn = stop.map(known -> runs.stream()
                        .map(run -> run.workerId() + " at " + known.millisUntil(run.beganNanos()) + " ms, " + run.end()
                                + " at " + known.millisUntil(run.endedNanos()) + " ms")
                        .collect(Collectors.joining("; ")))
                .orElse("");
        return answer.attemptId() + " " + answer.kind() + " " + answer.upload().pace() + ", "
                + (answer.kept() ? "kept" : "new") + " connection, " + times + ", status " + answer.status()
                + ", passed on " + runs.size() + " times " + passedOn;
    }

    /** Checks that requests which are sent before callers can know of a stop are not refused because of it. */
    static List<String> refusedEarly(StopHistory history) {
        List<String> breaches = new ArrayList<>();
        for (FrontStop stop : history.stops()) {
            history.fleet().answers().stream()
                    .filter(answer -> isWithinUnknown(stop, answer)
                            && answer.status() == 503
                            && answer.body().contains(REFUSAL))
                    .forEach(answer ->
                            breaches.add("EARLY " + stop.millisUntil(answer.sentNanos()) + " ms after the SIGTERM of "
                                    + stop.frontName() + history.fleet().describe(answer.attemptId())));
        }
        return breaches;
    }

    private static boolean isWithinUnknown(FrontStop stop, CallerAnswer answer) {
        return stop.frontIp().equals(answer.frontIp())
                && stop.millisUntil(answer.sentNanos()) >= 0
                && answer.upload().lastByteNanos().isPresent()
                && stop.millisUntil(answer.upload().lastByteNanos().getAsLong()) <= UNKNOWN_MILLIS;
    }

    /** Returns figures of the stops in one line. */
    static String figures(StopHistory history) {
        Map<String, Long> times = count(history.stops().stream().map(stop -> stop.millis() / MILLIS_PER_SECOND + " s"));
        List<CallerAnswer> early = history.fleet().answers().stream()
                .filter(answer -> history.stops().stream().anyMatch(stop -> isWithinUnknown(stop, answer)))
                .toList();
        Map<String, Long> earlyEnds = count(early.stream()
                .map(answer -> answer.end() == CallerAnswer.End.CLOSED
                        ? cut(history, answer, history.fleet().runsOf(answer.attemptId()))
                                .name()
                        : answer.end() + " " + answer.status()));
        Map<String, Long> kinds = count(cuts(history).entrySet().stream()
                .filter(entry -> entry.getValue() == Cut.LOST)
                .map(entry -> entry.getKey().kind() + " "
                        + entry.getKey().upload().pace() + (entry.getKey().kept() ? " kept" : " new")));
        return "stops " + history.stops().size() + " that took " + times + ", idle stop "
                + history.idleStop().millis() + " ms, hang-ups "
                + history.hangUps().size() + ", connections closed without a whole answer "
                + count(cuts(history).values().stream().map(Cut::name)) + ", lost " + kinds + ", sent within "
                + UNKNOWN_MILLIS + " ms of a SIGTERM " + earlyEnds;
    }

    private static Map<String, Long> count(Stream<String> keys) {
        return keys.collect(Collectors.groupingBy(key -> key, TreeMap::new, Collectors.counting()));
    }
}
