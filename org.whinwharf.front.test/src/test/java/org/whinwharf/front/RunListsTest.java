package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.coordination.RunListPart;
import org.whinwharf.traffic.coordination.RunningRequests;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.RunUnderWay;
import org.whinwharf.wire.fleet.RunsUnderWay;

/** Tests that lists of running requests of any length reach a coordinator. */
class RunListsTest {
    private static final int MANY_RUNS = 5_000;
    /** Time between two lists in milliseconds. */
    private static final long INTERVAL_MILLIS = 1_000;
    /** Time without any list after which a coordinator forgets the runs of a process, and more. */
    private static final long FORGOTTEN_MILLIS = 5_000;

    private final RunningRequests known = new RunningRequests((targetId, load) -> {});

    /** Guards against a list that no datagram holds, so that the coordinator counts none of the sender's requests. */
    @Test
    void longListIsSentInPartsOfBoundedSize() {
        List<RunUnderWay> received = new ArrayList<>();
        Set<RunListPart> parts = new HashSet<>();
        for (RunsUnderWay message : RunLists.toMessages("service", runs(MANY_RUNS))) {
            assertThat(
                    FleetDatagram.newBuilder().addRuns(message).build().getSerializedSize(),
                    lessThanOrEqualTo(PeerDatagrams.MAX_DATAGRAM_BYTES));
            parts.add(RunLists.partOf(message));
            received.addAll(message.getRunsList());
        }
        assertThat(received, containsInAnyOrder(runs(MANY_RUNS).toArray()));
        assertThat("parts", parts.size(), greaterThan(1));
        parts.forEach(part -> assertThat(part.count(), is(parts.size())));
    }

    /**
     * Guards against a coordinator that forgets the requests of a process because one message of each of its lists is
     * lost, and against one that keeps requests that have ended.
     */
    @Test
    void partsAreAppliedWhileOthersAreLost() {
        apply(RunLists.toMessages("service", runs(MANY_RUNS)), -1, 0);
        List<RunsUnderWay> without =
                RunLists.toMessages("service", runs(MANY_RUNS).subList(0, MANY_RUNS / 2));
        int lost = 1;
        for (long now = INTERVAL_MILLIS; now <= FORGOTTEN_MILLIS; now += INTERVAL_MILLIS) {
            apply(without, lost, now);
            known.expireSilent(now);
        }
        RunListPart lostPart = RunLists.partOf(without.get(lost));
        for (long id = 0; id < MANY_RUNS; id++) {
            boolean kept = id < MANY_RUNS / 2 || lostPart.holds(id);
            assertThat("run " + id, known.find("front", id).isPresent(), is(kept));
        }
    }

    /** Guards against a fleet of two releases in which the older one cannot read the usual lists. */
    @Test
    void shortListIsOneMessageWithoutNumbers() {
        RunsUnderWay whole = RunsUnderWay.newBuilder()
                .setService("service")
                .addAllRuns(runs(20))
                .build();
        assertThat(RunLists.toMessages("service", runs(20)), is(List.of(whole)));
        assertThat(RunLists.partOf(whole), is(RunListPart.WHOLE));
    }

    private void apply(List<RunsUnderWay> messages, int lost, long nowMillis) {
        for (int i = 0; i < messages.size(); i++) {
            if (i != lost) {
                Map<Long, RunningRequests.Run> runs = new HashMap<>();
                messages.get(i).getRunsList().forEach(run -> runs.put(run.getId(), PlacementMessages.run(run)));
                known.reconcile("front", RunLists.partOf(messages.get(i)), runs, nowMillis);
            }
        }
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
