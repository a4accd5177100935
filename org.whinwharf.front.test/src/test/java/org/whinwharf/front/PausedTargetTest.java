package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests at targets that fall silent and go on later, or never. */
class PausedTargetTest {
    private static final int FRONTS = 3;
    private static final int TARGETS = 10;
    private static final int REQUESTS = 40;
    private static final long TIMEOUT_MILLIS = 12_000;
    private static final long OBJECTIVE_MILLIS = 300;
    /** Fewer retries than there are requests, as in a fleet whose service fails. */
    private static final FleetLimits FEW_RETRIES = new FleetLimits(3, TIMEOUT_MILLIS, OBJECTIVE_MILLIS, 0.1, 10);

    private static final FleetLimits MANY_RETRIES = new FleetLimits(3, TIMEOUT_MILLIS, OBJECTIVE_MILLIS, 2, 10);

    /** Guards against streams that end when their targets pause, with and without a configuration beside the pause. */
    @ParameterizedTest
    @CsvSource({
        "false, 10, 1600, true",
        "true, 10, 1600, true",
        "false, 6, 1600, true",
        "true, 6, 1600, true",
        "false, 10, 4000, true",
        "true, 10, 4000, true",
        "false, 10, 1600, false",
        "true, 10, 1600, false"
    })
    void streamsOfPausedTargetsAreWhole(boolean engine, int pausedTargets, long pauseMillis, boolean newCatalog)
            throws Exception {
        assertAllWhole(PausingFleet.Work.RESUMABLE_STREAM, engine, pausedTargets, pauseMillis, newCatalog);
    }

    /** Guards against the same in streams that can't be resumed. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamsThatCannotBeResumedAreWhole(boolean engine) throws Exception {
        assertAllWhole(PausingFleet.Work.STREAM, engine, TARGETS, 1_600, true);
    }

    /** Guards against plain requests that end when their targets pause before the first byte. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void plainRequestsOfPausedTargetsAreWhole(boolean engine) throws Exception {
        assertAllWhole(PausingFleet.Work.SAFE, engine, TARGETS, 2_500, true);
    }

    /** Guards against requests that wait at targets that have hung for good, though others would serve them. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamsOfHungTargetsAreResumedAtOthers(boolean engine) throws Exception {
        try (PausingFleet fleet = new PausingFleet(FRONTS, TARGETS, engine, MANY_RETRIES)) {
            List<Future<String>> responses = fleet.callAll(PausingFleet.Work.RESUMABLE_STREAM, REQUESTS);
            fleet.pause(fleet.busiest(2));
            assertThat("whole", countWhole(PausingFleet.Work.RESUMABLE_STREAM, responses), is(REQUESTS));
            assertAttemptsKept(fleet, PausingFleet.Work.RESUMABLE_STREAM);
        }
    }

    private static void assertAllWhole(
            PausingFleet.Work work, boolean engine, int pausedTargets, long pauseMillis, boolean newCatalog)
            throws Exception {
        try (PausingFleet fleet = new PausingFleet(FRONTS, TARGETS, engine, FEW_RETRIES)) {
            List<Future<String>> responses = fleet.callAll(work, REQUESTS);
            if (newCatalog) {
                fleet.fleet().republishCatalog(2);
            }
            fleet.pauseFor(pausedTargets, pauseMillis);
            assertThat("whole", countWhole(work, responses), is(REQUESTS));
            assertAttemptsKept(fleet, work);
        }
    }

    private static int countWhole(PausingFleet.Work work, List<Future<String>> responses) throws Exception {
        List<String> incomplete = new ArrayList<>();
        for (Future<String> response : responses) {
            String text = response.get();
            if (!PausingFleet.whole(work, text)) {
                incomplete.add(text);
            }
        }
        return responses.size() - incomplete.size();
    }

    private static void assertAttemptsKept(PausingFleet fleet, PausingFleet.Work work) {
        for (int i = 0; i < REQUESTS; i++) {
            String attemptId = PausingFleet.attemptId(work, i);
            assertThat("runs of " + attemptId, fleet.runs(attemptId), lessThanOrEqualTo(FEW_RETRIES.attempts()));
        }
    }
}
