package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Plants requests that stops cut or refuse in the records, and checks that only those against the rules are found. */
class StopChecksTest {
    private static final String FRONT = "f";
    private static final String PATH = "/stream/x/3";
    private static final long SIGTERM_NANOS = TimeUnit.SECONDS.toNanos(100);
    private static final FrontStop STOP = new FrontStop("front", FRONT, SIGTERM_NANOS, atMillis(7_400));

    private static long atMillis(long afterSigterm) {
        return SIGTERM_NANOS + TimeUnit.MILLISECONDS.toNanos(afterSigterm);
    }

    private static CallerAnswer answer(
            OptionalLong lastByteNanos, long endedNanos, int status, String body, CallerAnswer.End end) {
        return new CallerAnswer(
                "a",
                PATH,
                FRONT,
                true,
                atMillis(100),
                endedNanos,
                status,
                "",
                "",
                body,
                end,
                "",
                0,
                0,
                new CallerAnswer.Upload(BodyPace.AT_ONCE, lastByteNanos));
    }

    private static CallerAnswer cut(long lastByteMillis, long endedMillis) {
        return answer(
                OptionalLong.of(atMillis(lastByteMillis)), atMillis(endedMillis), 200, "", CallerAnswer.End.CLOSED);
    }

    private static WorkerRun run(long endedMillis, WorkerRun.End end) {
        return new WorkerRun(
                1,
                "w",
                "v1",
                "a",
                PATH,
                "",
                0,
                true,
                200,
                end,
                "",
                false,
                atMillis(110),
                atMillis(endedMillis),
                OptionalLong.empty());
    }

    private static StopHistory history(CallerAnswer answer, WorkerRun... runs) {
        return new StopHistory(new FleetHistory(List.of(runs), List.of(answer)), List.of(STOP), List.of(), STOP);
    }

    private static void assertLost(StopHistory history) {
        assertThat(StopChecks.lost(history), contains(startsWith("LOST")));
    }

    /** Guards against a check that overlooks a request which was sent late in a stop and cut at its end. */
    @Test
    void requestSentLateIsLost() {
        assertLost(history(cut(3_100, 7_400), run(7_400, WorkerRun.End.CALLER_LEFT)));
    }

    /** Guards against a check that excuses a request whose worker had ended before the last sixth of the grace time. */
    @Test
    void requestOfAWorkerThatEndedInTimeIsLost() {
        assertLost(history(cut(1_000, 7_400), run(6_500, WorkerRun.End.WRITTEN)));
    }

    /** Guards against a check that excuses a request which waits in the front until its end. */
    @Test
    void requestThatIsNeverPassedOnIsLost() {
        assertLost(history(cut(1_000, 1_201)));
    }

    /** Guards against a check that overlooks a request which is cut after a hang-up. */
    @Test
    void requestCutAfterAHangUpIsLost() {
        FleetHistory fleet =
                new FleetHistory(List.of(run(-500, WorkerRun.End.CALLER_LEFT)), List.of(cut(-1_000, -500)));
        StopHistory.HangUp hangUp = new StopHistory.HangUp(FRONT, atMillis(-600));
        assertLost(new StopHistory(fleet, List.of(STOP), List.of(hangUp), STOP));
    }

    /** Guards against a check that fails on what the rule allows. */
    @Test
    void allowedCutsPass() {
        CallerAnswer notWhole = answer(OptionalLong.empty(), atMillis(7_400), 0, "", CallerAnswer.End.CLOSED);
        CallerAnswer complete =
                answer(OptionalLong.of(atMillis(3_100)), atMillis(7_000), 200, "", CallerAnswer.End.COMPLETE);
        for (StopHistory history : List.of(
                history(cut(3_000, 7_400), run(7_400, WorkerRun.End.CALLER_LEFT)),
                history(cut(3_000, 7_400), run(6_700, WorkerRun.End.WRITTEN)),
                history(cut(3_100, 7_400), run(7_400, WorkerRun.End.BROKEN_OFF)),
                history(cut(3_100, 3_200)),
                history(notWhole),
                history(complete, run(7_000, WorkerRun.End.WRITTEN)))) {
            assertThat(StopChecks.lost(history), empty());
        }
    }

    /** Guards against a check that overlooks a refusal before callers know of the stop, or finds a later one. */
    @Test
    void earlyRefusalIsABreach() {
        assertThat(StopChecks.refusedEarly(history(refusal(2_500))), contains(startsWith("EARLY")));
        assertThat(StopChecks.refusedEarly(history(refusal(2_600))), empty());
    }

    private static CallerAnswer refusal(long lastByteMillis) {
        return answer(
                OptionalLong.of(atMillis(lastByteMillis)),
                atMillis(lastByteMillis + 1),
                503,
                "{\"error\":\"host-leaving\"}",
                CallerAnswer.End.COMPLETE);
    }
}
