package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests streams that callers resume after all fronts were killed at once, with everything that they remembered. */
class RejoinedStreamTest {
    private static final List<String> TWO_VERSIONS = List.of("v1", "v2", "v1", "v2", "v1", "v2");
    private static final int FRONTS = 3;
    private static final int STREAMS = 20;

    /** Guards against taking the targets that are there for proof that there was no other version. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamIsNotJoinedFromTwoVersionsAfterThoseOfTheFirstHaveLeft(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(TWO_VERSIONS, engine)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            List<FrontFixture> restarted = fleet.fleet()
                    .restartAllFronts(target -> fleet.fleet().version(target).equals("v2"));
            assertThat("mixed", mixed(resume(fleet, restarted, begun)), is(0L));
        }
    }

    /** Guards against a version that is guessed while targets of two serve. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void streamIsNotJoinedFromTwoVersionsWhileBothServe(boolean engine) throws Exception {
        try (VersionedFleet fleet = start(TWO_VERSIONS, engine)) {
            List<VersionedFleet.Received> begun = begin(fleet);
            List<FrontFixture> restarted = fleet.fleet().restartAllFronts(target -> true);
            assertThat("mixed", mixed(resume(fleet, restarted, begun)), is(0L));
        }
    }

    private static VersionedFleet start(List<String> versions, boolean engine) throws Exception {
        return new VersionedFleet(FRONTS, versions, engine, 1, VersionedFleet.Interruption.BROKEN_OFF);
    }

    private static List<VersionedFleet.Received> begin(VersionedFleet fleet) throws Exception {
        List<VersionedFleet.Received> begun = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            begun.add(fleet.call(i % FRONTS, "a" + i, VersionedFleet.Received.nothing("s" + i)));
        }
        return begun;
    }

    private static List<VersionedFleet.Received> resume(
            VersionedFleet fleet, List<FrontFixture> fronts, List<VersionedFleet.Received> begun) throws Exception {
        List<VersionedFleet.Received> resumed = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            resumed.add(fleet.call(fronts.get(i % FRONTS), "b" + i, begun.get(i)));
        }
        return resumed;
    }

    private static long mixed(List<VersionedFleet.Received> streams) {
        return streams.stream().filter(VersionedFleet.Received::mixed).count();
    }
}
