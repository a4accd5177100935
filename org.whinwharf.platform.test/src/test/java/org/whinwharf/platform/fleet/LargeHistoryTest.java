package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that deployed fronts take over a history of the store that is larger than one answer which they accept. */
class LargeHistoryTest {
    /** Number of routes in each configuration, which is about half as large as the store allows. */
    private static final int ROUTES = 4_000;
    /** Number of configurations whose history exceeds 8 MB. */
    private static final int BURST = 16;

    private static final long APPLY_MILLIS = 2_000;
    private static final List<Integer> ALL =
            IntStream.range(0, DeployedFleet.FRONTS).boxed().toList();

    /**
     * Guards against fronts that never take over a burst of large configurations, as the watch's answer is too large.
     */
    @Test
    void changesHoldAfterBurstOfLargeConfigurations() throws Exception {
        try (DeployedFleet fleet = new DeployedFleet()) {
            fleet.start();
            try (FleetScenario scenario = new FleetScenario(fleet, 0, 0, ROUTES)) {
                scenario.start();
                FleetOperations.Impairment frozen = scenario.operations().freeze(ALL);
                for (int i = 0; i < BURST; i++) {
                    scenario.addRoute();
                }
                frozen.end();
                fleet.awaitReady();
                TimeUnit.MILLISECONDS.sleep(ContactRecord.CONTACT_MILLIS + APPLY_MILLIS);
                FleetVerdict verdict = scenario.finish();
                assertThat(verdict.figures(), verdict.breaches(), is(empty()));
            }
        }
    }
}
