package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.traffic.member.MemberHeartbeat;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.MemberPhase;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Gossip of heartbeats through a fleet of ninety processes. Each process sends the newest heartbeats to two random
 * peers about four times a second.
 */
class HeartbeatPropagationTest {
    private static final int PROCESSES = 90;
    private static final int FAN_OUT = 2;
    private static final long GOSSIP_INTERVAL_MILLIS = 300;
    /** Share of datagrams lost on a disturbed link. */
    private static final double DATAGRAM_LOSS_RATIO = 0.025;

    private final Random random = new Random(11);
    private final List<MemberTable> tables = new ArrayList<>();
    private long nowMillis;

    HeartbeatPropagationTest() {
        for (int i = 0; i < PROCESSES; i++) {
            MemberTable table = new MemberTable(report(i));
            for (int other = 0; other < PROCESSES; other++) {
                table.receive(report(other), 0);
            }
            tables.add(table);
        }
    }

    /**
     * Guards against a healthy process being suspected because its heartbeats arrive too late. Callers would no longer
     * be sent to it, and its share of quotas would go to other processes.
     */
    @Test
    void noHealthyProcessIsSuspected() {
        for (int round = 0; round < 100; round++) {
            gossipRound(PROCESSES);
            for (MemberTable table : tables) {
                assertThat(table.alive(nowMillis), hasSize(PROCESSES - 1));
            }
        }
    }

    /** After a process is killed, its peers still forward its heartbeats and must not keep it alive by that. */
    @Test
    void killedProcessIsSuspectedByEveryPeer() {
        for (int round = 0; round < 20; round++) {
            gossipRound(PROCESSES);
        }
        long killedAtMillis = nowMillis;
        int liveCount = PROCESSES - 1;
        while (aliveInAnyTable(liveCount)) {
            gossipRound(liveCount);
        }
        assertThat(nowMillis - killedAtMillis, greaterThan(MemberTable.LARGE_FLEET_SUSPECT_TIMEOUT_MILLIS - 1));
        assertThat(nowMillis - killedAtMillis, lessThan(MemberTable.LARGE_FLEET_SUSPECT_TIMEOUT_MILLIS + 3_000));
    }

    @Test
    void heartbeatCarriesThePhase() {
        MemberTable table = tables.get(0);
        table.receive(new MemberHeartbeat("front-7".hashCode(), 1, 50, MemberPhase.MEMBER_LEAVING), 10);
        assertThat(
                table.serving(10).stream().anyMatch(report -> report.getName().equals("front-7")), is(false));
    }

    /**
     * A process was restarted between two rounds. Its new incarnation has to be requested and must not be mistaken for
     * the old one.
     */
    @Test
    void heartbeatOfAnUnknownIncarnationIsRejected() {
        assertThat(
                tables.get(0).receive(new MemberHeartbeat("front-7".hashCode(), 2, 1, MemberPhase.MEMBER_SERVING), 10),
                is(false));
        assertThat(tables.get(0).receive(new MemberHeartbeat(12_345, 1, 1, MemberPhase.MEMBER_SERVING), 10), is(false));
    }

    /**
     * A report that was forwarded slowly arrives after newer heartbeats. It updates the report but neither the phase
     * nor the heartbeat.
     */
    @Test
    void olderReportDoesNotRevertANewerHeartbeat() {
        MemberTable table = tables.get(0);
        table.receive(new MemberHeartbeat("front-7".hashCode(), 1, 50, MemberPhase.MEMBER_LEAVING), 10);
        assertThat(
                table.receive(
                        report(7).toBuilder().setSequence(40).setRevision(9).build(), 20),
                is(true));
        Member member = table.all().stream()
                .filter(known -> known.report().getName().equals("front-7"))
                .findFirst()
                .orElseThrow();
        assertThat(member.report().getRevision(), is(9L));
        assertThat(member.report().getPhase(), is(MemberPhase.MEMBER_LEAVING));
        assertThat(member.receivedAtMillis(), is(10L));
    }

    private boolean aliveInAnyTable(int liveCount) {
        String dead = "front-" + liveCount;
        return tables.subList(0, liveCount).stream()
                .flatMap(table -> table.alive(nowMillis).stream())
                .anyMatch(member -> member.report().getName().equals(dead));
    }

    private void gossipRound(int liveCount) {
        nowMillis += GOSSIP_INTERVAL_MILLIS;
        for (int from = 0; from < liveCount; from++) {
            MemberTable table = tables.get(from);
            table.updateLocalReport(report(from).toBuilder());
            List<MemberHeartbeat> heartbeats = table.heartbeats(90, nowMillis);
            for (int i = 0; i < FAN_OUT; i++) {
                MemberTable receiver = tables.get(random.nextInt(liveCount));
                if (random.nextDouble() >= DATAGRAM_LOSS_RATIO) {
                    heartbeats.forEach(heartbeat -> receiver.receive(heartbeat, nowMillis));
                }
            }
        }
    }

    private static MemberReport report(int process) {
        return Fixtures.report("front-" + process, 1, 1);
    }
}
