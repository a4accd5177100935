package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.fleet.MemberReport;
import org.whinwharf.wire.fleet.TargetUse;

/** Tests that reports to other fronts have a bounded size. */
class FleetStateExchangeTest {
    private static final int MAX_BYTES = 8_000;

    /** Guards against a report that grows with the targets until no datagram holds it. */
    @Test
    void reportNamesTheTargetsWithMostRequests() {
        List<TargetUse> uses = IntStream.range(0, 6_000)
                .mapToObj(i -> TargetUse.newBuilder()
                        .setTargetDigest(-i)
                        .setRunning(i == 5_000 ? 9 : 1)
                        .setPrefillTokens(10_000)
                        .build())
                .toList();
        List<TargetUse> reported = FleetStateExchange.mostUsed(uses);
        assertThat(reported, hasItem(uses.get(5_000)));
        assertThat(MemberReport.newBuilder().addAllUses(reported).build().getSerializedSize(), lessThan(MAX_BYTES));
        assertThat(reported, hasSize(FleetStateExchange.MAX_USES));
    }

    @Test
    void shortReportNamesAllTargets() {
        List<TargetUse> uses = List.of(TargetUse.newBuilder().setRunning(1).build());
        assertThat(FleetStateExchange.mostUsed(uses), is(uses));
    }
}
