package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.RunUnderWay;
import org.whinwharf.wire.fleet.RunsUnderWay;

/** Tests that lists of running requests of any length reach a coordinator. */
class RunListsTest {
    private static final int MANY_RUNS = 5_000;

    private final RunLists received = new RunLists();

    /** Guards against a list that no datagram holds, so that the coordinator counts none of the sender's requests. */
    @Test
    void longListArrivesInPartsOfBoundedSize() {
        List<RunUnderWay> runs = runs(MANY_RUNS);
        List<RunsUnderWay> parts = new ArrayList<>(RunLists.split("service", runs, 7));
        parts.forEach(part -> assertThat(
                FleetDatagram.newBuilder().addRuns(part).build().getSerializedSize(),
                lessThanOrEqualTo(PeerDatagrams.MAX_DATAGRAM_BYTES)));
        Collections.shuffle(parts, new Random(1));
        for (RunsUnderWay part : parts.subList(1, parts.size())) {
            assertThat(received.join("front", part), is(Optional.empty()));
        }
        assertThat(received.join("front", parts.get(0)).orElseThrow(), containsInAnyOrder(runs.toArray()));
    }

    /** Guards against a list of which a message was lost, and that hides the requests in it. */
    @Test
    void incompleteListIsNotApplied() {
        List<RunsUnderWay> first = RunLists.split("service", runs(MANY_RUNS), 7);
        List<RunsUnderWay> second = RunLists.split("service", runs(MANY_RUNS), 8);
        assertThat(received.join("front", first.get(0)), is(Optional.empty()));
        for (RunsUnderWay part : second.subList(1, second.size())) {
            assertThat(received.join("front", part), is(Optional.empty()));
        }
        assertThat(received.join("front", second.get(0)).orElseThrow(), hasSize(MANY_RUNS));
    }

    /** Guards against a fleet of two releases in which the older one cannot read the usual lists. */
    @Test
    void shortListIsOneMessageWithoutNumbers() {
        RunsUnderWay whole = RunsUnderWay.newBuilder()
                .setService("service")
                .addAllRuns(runs(20))
                .build();
        assertThat(RunLists.split("service", runs(20), 7), is(List.of(whole)));
        assertThat(received.join("front", whole), is(Optional.of(runs(20))));
    }

    private static List<RunUnderWay> runs(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> RunUnderWay.newBuilder()
                        .setId(i)
                        .setTarget("target-" + i)
                        .setPrefillTokens(1_000)
                        .setSuspectFingerprint(i)
                        .setOrganisationDigest(i)
                        .setTierRank(3)
                        .build())
                .toList();
    }
}
