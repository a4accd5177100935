package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests streams whose targets pause together with those that are to replace them. */
class SilentReplacementTest {
    private static final int FRONTS = 3;
    private static final int TARGETS = 10;
    /** Few enough to leave targets without a run, which no front knows to be silent. */
    private static final int STREAMS = 8;

    private static final long PAUSE_MILLIS = 3_000;
    /** Longer than two targets may work on one stream. */
    private static final long PREFILL_MILLIS = 800;

    private static final FleetLimits LIMITS = new FleetLimits(2, 12_000, 300, 2, 10);

    /** Guards against giving up a stream that goes on for a replacement that never begins. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamsOutliveReplacementsThatSendNothing(boolean engine) throws Exception {
        try (PausingFleet fleet = new PausingFleet(FRONTS, TARGETS, engine, LIMITS)) {
            List<Future<String>> responses = fleet.callAll(PausingFleet.Work.RESUMABLE_STREAM, STREAMS);
            List<Integer> busy = fleet.busiest(TARGETS);
            fleet.pause(IntStream.range(0, TARGETS).boxed().toList());
            Thread.sleep(PAUSE_MILLIS);
            fleet.resume(busy);
            assertThat("whole, with " + busy.size() + " targets busy", countWhole(responses), is(STREAMS));
        }
    }

    /** Guards against giving up the replacement of a hung target because its first event takes some time. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void slowReplacementsServeStreamsOfHungTargets(boolean engine) throws Exception {
        try (PausingFleet fleet = new PausingFleet(FRONTS, TARGETS, engine, LIMITS)) {
            List<Future<String>> responses = fleet.callAll(PausingFleet.Work.RESUMABLE_STREAM, STREAMS);
            fleet.setPrefillMillis(PREFILL_MILLIS);
            fleet.pause(fleet.busiest(2));
            assertThat("whole", countWhole(responses), is(STREAMS));
        }
    }

    private static int countWhole(List<Future<String>> responses) throws Exception {
        int whole = 0;
        for (Future<String> response : responses) {
            whole += PausingFleet.whole(PausingFleet.Work.RESUMABLE_STREAM, response.get()) ? 1 : 0;
        }
        return whole;
    }
}
