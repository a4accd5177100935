package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

class MemberTableTest {
    private final MemberTable table = new MemberTable(Fixtures.report("own", 100, 0));

    @Test
    void newerReportReplacesTheOlder() {
        assertThat(table.receive(Fixtures.report("a", 1, 5), 0), is(true));
        assertThat(table.receive(Fixtures.report("a", 1, 5), 10), is(false));
        assertThat(table.receive(Fixtures.report("a", 1, 4), 10), is(false));
        assertThat(table.receive(Fixtures.report("a", 2, 0), 10), is(true));
    }

    @Test
    void suspectedProcessIsNotServingButCountsUntilItExpires() {
        table.receive(Fixtures.report("a", 1, 1), 0);
        assertThat(table.serving(MemberTable.SUSPECT_TIMEOUT_MILLIS), hasSize(2));
        assertThat(table.serving(MemberTable.SUSPECT_TIMEOUT_MILLIS + 1), hasSize(1));
        assertThat(table.reachableShare(MemberTable.SUSPECT_TIMEOUT_MILLIS + 1), closeTo(0.6, 0.001));
        table.expire(MemberTable.EXPIRY_TIMEOUT_MILLIS + 1);
        assertThat(table.reachableShare(MemberTable.EXPIRY_TIMEOUT_MILLIS + 1), closeTo(1, 0.001));
    }

    /**
     * Guards against parts of a partitioned fleet that each take the whole of what the fleet may use, once they have
     * removed the others.
     */
    @Test
    void processInTheMinorityCountsTheOthersAfterTheirRemoval() {
        for (String name : List.of("a", "b", "c", "d", "e", "f")) {
            table.receive(Fixtures.report(name, 1, 1), 0);
        }
        long removed = MemberTable.EXPIRY_TIMEOUT_MILLIS + 1;
        table.expire(removed);
        assertThat(table.inMinority(removed), is(true));
        assertThat(table.reachableShare(removed), closeTo(1.2 / 7, 0.001));
        assertThat(table.possiblyServingNames(removed), hasSize(7));
        for (String name : List.of("a", "b", "c")) {
            table.receive(Fixtures.report(name, 1, 2), removed);
        }
        assertThat("in the majority", table.inMinority(removed), is(false));
        assertThat(table.reachableShare(removed), closeTo(1, 0.001));
    }

    /**
     * Guards against a process that has just started, hears from nobody since it is cut off, and takes the whole of
     * what the fleet may use.
     */
    @Test
    void processThatHasHeardNobodyCountsThoseItWasToldOf() {
        table.expect(List.of("10.0.0.1", "10.0.0.2", "10.0.0.3"), 0);
        assertThat(table.inMinority(0), is(true));
        assertThat(table.reachableShare(0), closeTo(1.2 / 4, 0.001));
        for (int i = 1; i <= 3; i++) {
            table.receive(
                    Fixtures.report("front-" + i, 1, 1).toBuilder()
                            .setIp("10.0.0." + i)
                            .build(),
                    100);
        }
        assertThat(table.inMinority(100), is(false));
        assertThat(table.possiblyServingNames(100), hasSize(4));
        assertThat(table.reachableShare(100), closeTo(1, 0.001));
    }

    /** Guards against a fleet that keeps allowances for hosts that have been replaced. */
    @Test
    void expectedProcessesAreForgottenInTheEnd() {
        table.expect(List.of("10.0.0.1", "10.0.0.2"), 0);
        table.expire(600_001);
        assertThat(table.inMinority(600_001), is(false));
        assertThat(table.reachableShare(600_001), closeTo(1, 0.001));
    }

    /** Guards against a fleet that keeps allowances for processes that are gone for good. */
    @Test
    void removedProcessesAreForgottenInTheEnd() {
        for (String name : List.of("a", "b")) {
            table.receive(Fixtures.report(name, 1, 1), 0);
        }
        table.expire(MemberTable.EXPIRY_TIMEOUT_MILLIS + 1);
        long forgotten = MemberTable.EXPIRY_TIMEOUT_MILLIS + 600_002;
        table.expire(forgotten);
        assertThat(table.reachableShare(forgotten), closeTo(1, 0.001));
    }

    /**
     * A process is killed and restarted on a host whose wall clock was set back in between. Its new incarnation is
     * lower than the one its peers know. They would ignore its reports as stale and leave it out of the directory for
     * as long as the clock was set back.
     */
    @Test
    void higherIncarnationOfTheLocalProcessIsExceeded() {
        table.receive(Fixtures.report("own", 5_000, 7), 0);
        assertThat(table.localReport().getIncarnation(), greaterThan(5_000L));
    }

    /**
     * Ninety fronts serve, and an answer of the directory has room for sixty-four. If the answers always listed the
     * same fronts, the other twenty-six would be nearly idle while callers of the listed ones are rejected for lack of
     * connections.
     */
    @Test
    void everyProcessOfALargeFleetIsReturnedEquallyOften() {
        table.updateLocalReport(Fixtures.report("own", 100, 0).toBuilder());
        Map<String, Integer> listings = new HashMap<>();
        for (int i = 0; i < 90; i++) {
            table.receive(Fixtures.report("front-" + i, 1, 1), 0);
        }
        Random random = new Random(1);
        for (int round = 0; round < 1_000; round++) {
            List<MemberReport> sample = table.sampleServing(0, 64, random);
            assertThat(sample, hasSize(64));
            sample.forEach(report -> listings.merge(report.getName(), 1, Integer::sum));
        }
        assertThat(listings.remove("own"), is(1_000));
        assertThat(listings.size(), is(90));
        assertThat(Collections.min(listings.values()), greaterThan(630));
    }

    @Test
    void leavingProcessIsOutOfServiceAtOnce() {
        table.receive(Fixtures.report("a", 1, 1), 0);
        table.receive(
                Fixtures.report("a", 1, 2).toBuilder()
                        .setPhase(MemberPhase.MEMBER_LEAVING)
                        .build(),
                10);
        assertThat(table.serving(10), hasSize(1));
    }
}
