package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Plants a breach of each rule in the records, and checks that records without one pass. */
class FleetChecksTest {
    private static final String PLAIN = "/unsafe/x/1";
    private static final String STREAM = "/resumable/x/3";
    private static final CallerAnswer.Upload UPLOAD = new CallerAnswer.Upload(BodyPace.AT_ONCE, OptionalLong.of(0));
    private static final WorkerRun RUN = run(1, "a", PLAIN, 200, "whole", WorkerRun.End.WRITTEN);

    private static WorkerRun run(
            long number, String attemptId, String path, int status, String body, WorkerRun.End end) {
        return new WorkerRun(
                number,
                "w",
                "v1",
                attemptId,
                path,
                "",
                0,
                status != 503,
                status,
                end,
                body,
                false,
                number,
                number,
                OptionalLong.empty());
    }

    private static CallerAnswer answer(
            String attemptId, String path, int status, String seal, String body, CallerAnswer.End end) {
        return new CallerAnswer(attemptId, path, "f", true, 0, 1, status, "", seal, body, end, "", 0, 0, UPLOAD);
    }

    private static CallerAnswer complete(String attemptId, String path, int status, String seal, String body) {
        return answer(attemptId, path, status, seal, body, CallerAnswer.End.COMPLETE);
    }

    private static FleetHistory history(CallerAnswer answer, WorkerRun... runs) {
        return new FleetHistory(List.of(runs), List.of(answer));
    }

    private static String events(String seal, String version, int from, int to) {
        StringBuilder events = new StringBuilder();
        for (int id = from; id <= to; id++) {
            events.append("id: ")
                    .append(id)
                    .append("\ndata: ")
                    .append(seal)
                    .append(' ')
                    .append(version);
            events.append("\n\n");
        }
        return events.toString();
    }

    /** Guards against checks that fail on what the rules allow. */
    @Test
    void allowedRecordsPass() {
        WorkerRun broken = run(2, "a", STREAM, 200, events("2.w", "v1", 1, 2), WorkerRun.End.BROKEN_OFF);
        CallerAnswer begun = answer("a", STREAM, 200, "2.w", events("2.w", "v1", 1, 2), CallerAnswer.End.CLOSED);
        WorkerRun rest = run(3, "b", STREAM, 200, events("3.w", "v1", 3, 3), WorkerRun.End.WRITTEN);
        CallerAnswer ended = complete("b", STREAM, 200, "3.w", events("3.w", "v1", 3, 3));
        FleetHistory streams = new FleetHistory(List.of(broken, rest), List.of(begun, ended));
        FleetHistory plain = history(complete("a", PLAIN, 200, "1.w", "whole"), RUN);
        for (FleetHistory history : List.of(streams, plain)) {
            assertThat(FleetChecks.mixed(history), empty());
            assertThat(FleetChecks.order(history), empty());
            assertThat(FleetChecks.twice(history), empty());
            assertThat(FleetChecks.refused(history), empty());
            assertThat(FleetChecks.drain(history, run -> true), empty());
            assertThat(FleetChecks.lost(history, answer -> true), empty());
        }
    }

    /** Guards against a success that no worker sealed. */
    @Test
    void successWithoutASealIsABreach() {
        assertMixed(history(complete("a", PLAIN, 200, "", "whole"), RUN), "MIXED success without a seal");
    }

    /** Guards against an answer to another attempt, by its id and by its seal. */
    @Test
    void answerOfAnotherAttemptIsABreach() {
        CallerAnswer named = new CallerAnswer(
                "b", PLAIN, "f", true, 0, 1, 200, "a", "1.w", "whole", CallerAnswer.End.COMPLETE, "", 0, 0, UPLOAD);
        assertMixed(history(named, RUN), "MIXED answer of another attempt");
        assertMixed(history(complete("b", PLAIN, 200, "1.w", "whole"), RUN), "MIXED answer of another request");
    }

    /** Guards against a part of a body that looks complete. */
    @Test
    void cutBodyThatLooksCompleteIsABreach() {
        assertMixed(history(complete("a", PLAIN, 200, "1.w", "who"), RUN), "MIXED not the worker's whole body");
        CallerAnswer cut = complete("a", STREAM, 200, "1.w", events("1.w", "v1", 1, 3) + "id: 4\nda");
        WorkerRun run = run(1, "a", STREAM, 200, "", WorkerRun.End.BROKEN_OFF);
        assertMixed(history(cut, run), "MIXED bytes that are no event");
    }

    /** Guards against a status that the worker did not give. */
    @Test
    void anotherStatusThanTheWorkersIsABreach() {
        WorkerRun failed = run(1, "a", PLAIN, 500, "whole", WorkerRun.End.WRITTEN);
        assertMixed(history(complete("a", PLAIN, 200, "1.w", "whole"), failed), "MIXED another status");
        assertMixed(history(complete("a", PLAIN, 502, "1.w", "whole"), RUN), "MIXED another status");
    }

    /** Guards against events of another request within a stream. */
    @Test
    void eventOfAnotherRequestIsABreach() {
        WorkerRun own = run(1, "a", STREAM, 200, "", WorkerRun.End.WRITTEN);
        WorkerRun other = run(2, "b", STREAM, 200, "", WorkerRun.End.WRITTEN);
        String joined = events("1.w", "v1", 1, 2) + events("2.w", "v1", 3, 3);
        assertMixed(history(complete("a", STREAM, 200, "1.w", joined), own, other), "MIXED event 3 of another");
    }

    /** Guards against bytes that are no answer, and bytes that answer nothing. */
    @Test
    void bytesThatAnswerNothingAreABreach() {
        assertMixed(history(complete("a", PLAIN, -1, "", "")), "MIXED bytes that are no answer");
        CallerAnswer stray = new CallerAnswer(
                "a", PLAIN, "f", true, 0, 1, 200, "a", "1.w", "whole", CallerAnswer.End.COMPLETE, "", 0, 4, UPLOAD);
        assertMixed(history(stray, RUN), "MIXED bytes with no request waiting");
    }

    private static void assertMixed(FleetHistory history, String start) {
        assertThat(FleetChecks.mixed(history), contains(startsWith(start)));
    }

    /** Guards against a second run of a request that may run once. */
    @Test
    void secondRunIsABreach() {
        WorkerRun again = run(2, "a", PLAIN, 0, "", WorkerRun.End.CRASHED);
        FleetHistory history = history(complete("a", PLAIN, 200, "1.w", "whole"), RUN, again);
        assertThat(FleetChecks.twice(history), contains(startsWith("TWICE")));
    }

    /** Guards against a refusal of a request that ran. */
    @Test
    void refusalOfWhatRanIsABreach() {
        assertThat(
                FleetChecks.refused(history(complete("a", PLAIN, 503, "", ""), RUN)), contains(startsWith("REFUSED")));
    }

    /** Guards against events that are missing or come twice, and an end before the last event. */
    @Test
    void eventsOutOfOrderAreABreach() {
        assertOrder(events("1.w", "v1", 1, 1) + events("1.w", "v1", 3, 3), "ORDER event 3 after event 1");
        assertOrder(events("1.w", "v1", 1, 2) + events("1.w", "v1", 2, 3), "ORDER event 2 after event 2");
        assertOrder(events("1.w", "v1", 1, 2), "ORDER complete after event 2");
    }

    /** Guards against events of two versions, within an answer and over two attempts. */
    @Test
    void eventsOfTwoVersionsAreABreach() {
        assertOrder(events("1.w", "v1", 1, 2) + events("2.w", "v2", 3, 3), "ORDER event 3 of version v2");
        CallerAnswer begun = answer("a", STREAM, 200, "1.w", events("1.w", "v1", 1, 2), CallerAnswer.End.CLOSED);
        CallerAnswer rest = new CallerAnswer(
                "b",
                STREAM,
                "f",
                false,
                2,
                3,
                200,
                "b",
                "2.w",
                events("2.w", "v2", 3, 3),
                CallerAnswer.End.COMPLETE,
                "a",
                2,
                0,
                UPLOAD);
        assertThat(
                FleetChecks.order(new FleetHistory(List.of(), List.of(begun, rest))),
                contains(startsWith("ORDER event 3 of version v2")));
    }

    /** Guards against events of two versions that are not reported with the runs and versions they came from. */
    @Test
    void joinOfTwoVersionsNamesBothRuns() {
        String joined = events("1.w", "v1", 1, 2) + events("2.x", "v2", 3, 3);
        assertThat(
                FleetChecks.version(history(complete("a", STREAM, 200, "1.w", joined))),
                contains("VERSION event 3 came from 2.x of v2, the first from 1.w of v1, within the attempt"
                        + "\n  caller " + complete("a", STREAM, 200, "1.w", joined)));
        CallerAnswer begun = answer("a", STREAM, 200, "1.w", events("1.w", "v1", 1, 2), CallerAnswer.End.CLOSED);
        CallerAnswer rest = complete("b", STREAM, 200, "2.x", events("2.x", "v2", 3, 3));
        assertThat(
                FleetChecks.version(new FleetHistory(List.of(), List.of(begun, rest))),
                contains(startsWith("VERSION event 3 came from 2.x of v2, the first from 1.w of v1, at a later")));
        String sound = events("1.w", "v1", 1, 2) + events("2.x", "v1", 3, 3);
        assertThat(FleetChecks.version(history(complete("a", STREAM, 200, "1.w", sound))), empty());
    }

    private static void assertOrder(String body, String start) {
        assertThat(FleetChecks.order(history(complete("a", STREAM, 200, "1.w", body))), contains(startsWith(start)));
    }

    /** Guards against requests to a worker that has left, and counts those of fronts in touch only. */
    @Test
    void requestToAWorkerThatHasLeftIsABreach() {
        WorkerRun late = new WorkerRun(
                1,
                "w",
                "v1",
                "a",
                PLAIN,
                "",
                0,
                true,
                200,
                WorkerRun.End.WRITTEN,
                "",
                false,
                TimeUnit.MILLISECONDS.toNanos(2_001),
                TimeUnit.MILLISECONDS.toNanos(2_002),
                OptionalLong.of(0));
        FleetHistory history = history(complete("a", PLAIN, 200, "1.w", ""), late);
        assertThat(FleetChecks.drain(history, run -> true), contains(startsWith("DRAIN 2001 ms")));
        assertThat(FleetChecks.drain(history, run -> false), empty());
    }

    /** Guards against requests of kept connections that are lost though a worker answered them. */
    @Test
    void lostRequestsOfKeptConnectionsAreABreach() {
        CallerAnswer closed = answer("a", PLAIN, 0, "", "", CallerAnswer.End.CLOSED);
        FleetHistory few = new FleetHistory(List.of(RUN), List.of(closed, closed, closed));
        FleetHistory many = new FleetHistory(List.of(RUN), List.of(closed, closed, closed, closed));
        assertThat(FleetChecks.lost(few, answer -> true), empty());
        assertThat(FleetChecks.lost(many, answer -> true), contains(startsWith("LOST 4")));
    }
}
