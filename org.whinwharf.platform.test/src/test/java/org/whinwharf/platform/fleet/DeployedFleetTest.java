package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/**
 * Tests the deployed program as seven processes: its command, its flags and its settings as the platform fills them in.
 */
class DeployedFleetTest {
    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/r/\","
            + "\"kind\":\"safe\",\"timeout-ms\":900,\"slo-ms\":100,\"service\":\"s\",\"attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"s\",\"health-path\":\"/healthz\"}],\"limits\":{},\"tenants\":[]}";

    /** Guards against a deploy file whose command, flags or settings do not start the program. */
    @Test
    void deployedFleetStartsRestartsAndStops() throws Exception {
        try (DeployedFleet fleet = new DeployedFleet()) {
            fleet.store().put("op/config", CONFIG);
            fleet.start();
            fleet.awaitReady();
            FrontProcess front = fleet.fronts().get(0);
            front.kill();
            front.start();
            DeployedFleet.await("ready again", () -> fleet.ready(front));
            front.stop();
            assertThat("exit code", front.awaitExit(), is(0));
            assertThat(front.log(), containsString("\"event\":\"drained\""));
        }
    }

    /** Guards against a front that a signal about changed settings ends while it starts. */
    @Test
    void startingFrontSurvivesHangUp() throws Exception {
        try (DeployedFleet fleet = new DeployedFleet()) {
            fleet.store().put("op/config", CONFIG);
            fleet.store().start();
            FrontProcess front = fleet.fronts().get(0);
            front.start();
            DeployedFleet.await("caller port", front::accepts);
            front.hangUp();
            DeployedFleet.await("ready", () -> !front.running() || fleet.ready(front));
            assertThat("running", front.running(), is(true));
        }
    }
}
