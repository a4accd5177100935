package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.whinwharf.traffic.coordination.PlacementRequest;
import org.whinwharf.traffic.placement.Demand;
import org.whinwharf.traffic.placement.ImmutableDemand;
import org.whinwharf.traffic.target.PromptCacheIndex;
import org.whinwharf.traffic.target.PromptPart;
import org.whinwharf.wire.fleet.PlacementAsk;

class PlacementMessagesTest {
    /** Leaves room below the usual length of a packet. */
    private static final int MAX_REQUEST_BYTES = 400;

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

    /**
     * Guards against requests that grow with the parts of their prompts, or with the names of these, until no datagram
     * holds them; the receiver estimates the same as the sender.
     */
    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "130, 8", "500, 8", "2000, 8", "1, 16000", "2, 8000"})
    void partsOfThePromptDoNotLengthenTheRequest(int parts, int idLength) {
        List<PromptPart> prompt = IntStream.range(0, parts)
                .mapToObj(i -> new PromptPart(i + "x".repeat(idLength - 4), 10 + i))
                .toList();
        Demand demand = ImmutableDemand.builder()
                .from(DEMAND)
                .promptTokens(100_000)
                .promptParts(prompt)
                .build();
        PlacementAsk message = PlacementMessages.placementRequest(1, demand, 600, 300, Optional.empty(), 0);
        assertThat(message.getSerializedSize(), lessThan(MAX_REQUEST_BYTES));
        PromptCacheIndex index = new PromptCacheIndex();
        index.recordPrefill(prompt, "warm", 0);
        for (String target : List.of("warm", "other")) {
            assertThat(
                    index.uncachedTokens(received(message).promptParts(), 100_000, target, 1),
                    is(index.uncachedTokens(prompt, 100_000, target, 1)));
        }
    }

    private static PlacementAsk message() {
        return PlacementMessages.placementRequest(1, DEMAND, 600, 300, Optional.empty(), 0);
    }

    private static Demand received(PlacementAsk message) {
        return PlacementMessages.placementRequest("front-1", message, 0).demand();
    }
}
