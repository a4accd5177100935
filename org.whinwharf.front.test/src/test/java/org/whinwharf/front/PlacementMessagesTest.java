package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.wire.fleet.PlacementAsk;

class PlacementMessagesTest {
    private static final Demand DEMAND = ImmutableDemand.builder()
            .service("summaries")
            .dataCentre("zilina-a")
            .maxAnswerTokens(3_780)
            .estimatedAnswerTokens(OptionalLong.of(200))
            .remainingMillis(12_000)
            .tierRank(0)
            .build();

    @Test
    void estimateReachesTheCoordinator() {
        assertThat(received(message()).expectedAnswerTokens(), is(200L));
    }

    /** Guards against a fleet of two releases in which requests of older processes count as empty answers. */
    @Test
    void maximumStandsInForTheEstimateThatOlderProcessesDoNotSend() {
        PlacementAsk withoutEstimate =
                message().toBuilder().clearExpectedAnswerTokens().build();
        assertThat(received(withoutEstimate).estimatedAnswerTokens(), is(OptionalLong.empty()));
        assertThat(received(withoutEstimate).expectedAnswerTokens(), is(3_780L));
    }

    /** Guards against requests that lose their organisation's share once their quota is charged. */
    @Test
    void organisationOfAChargedRequestReachesTheCoordinator() {
        PlacementRequest charged = PlacementMessages.placementRequest(
                "front-1", PlacementMessages.addChargedOrganisation(message(), "obec"), 0);
        assertThat(charged.organisation(), is(Optional.empty()));
        assertThat(charged.sharingOrganisation(), is(Optional.of("obec")));
    }

    /** Guards against a fleet of two releases in which requests of older processes are charged to an organisation. */
    @Test
    void organisationIsUnknownIfOlderProcessesDoNotSendIt() {
        assertThat(
                PlacementMessages.placementRequest("front-1", message(), 0).sharingOrganisation(),
                is(Optional.empty()));
    }

    private static PlacementAsk message() {
        return PlacementMessages.placementRequest(1, DEMAND, 600, 300, Optional.empty(), 0);
    }

    private static Demand received(PlacementAsk message) {
        return PlacementMessages.placementRequest("front-1", message, 0).demand();
    }
}
