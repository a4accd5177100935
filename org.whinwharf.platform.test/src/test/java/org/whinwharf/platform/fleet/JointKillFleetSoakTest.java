package org.whinwharf.platform.fleet;

import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The deployed fronts as processes that are killed jointly, twice, while releases replace the workers and some of these
 * restart under their id and address at the other version. Takes the properties of {@link RestartedFleetSoakTest}.
 */
class JointKillFleetSoakTest {
    static Stream<Arguments> plays() {
        return RestartedFleetSoakTest.plays(Set.of(
                RestartTrait.ENGINE,
                RestartTrait.REPORTS,
                RestartTrait.PUBLISHED_LATE,
                RestartTrait.RELEASES,
                RestartTrait.JOINT_KILLS,
                RestartTrait.LAPSES));
    }

    /** Guards against streams joined from two versions by fronts that were killed jointly during a release. */
    @ParameterizedTest
    @MethodSource("plays")
    void streamsHoldEventsOfOneVersionAroundJointKills(Set<RestartTrait> traits, long seed) throws Exception {
        RestartedFleetSoakTest.playAndCheck(JointKillFleetSoakTest.class, traits, seed);
    }
}
