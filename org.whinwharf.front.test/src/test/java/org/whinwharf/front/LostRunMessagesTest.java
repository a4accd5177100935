package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.traffic.crash.LostRun;
import org.whinwharf.wire.fleet.LostRunReport;

class LostRunMessagesTest {
    private static final long NOW_MILLIS = 1_000;

    /**
     * Guards against a target that is taken for weeks to break off responses, as a peer reports an age beyond bounds.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, Integer.MAX_VALUE, Integer.MIN_VALUE, -1})
    void runsOfPeersAreNotInTheFuture(int ageMillis) {
        LostRunReport report = LostRunReport.newBuilder()
                .setSentAgeMillis(ageMillis)
                .setEndedAgeMillis(ageMillis)
                .build();
        LostRun run = LostRunMessages.fromReport(report, NOW_MILLIS);
        assertThat(run.sentAtMillis(), lessThanOrEqualTo(NOW_MILLIS));
        assertThat(run.endedAtMillis(), lessThanOrEqualTo(NOW_MILLIS));
    }
}
