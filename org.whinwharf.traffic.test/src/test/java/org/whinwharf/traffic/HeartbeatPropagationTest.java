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
 * Signs of life that go from hand to hand through a fleet of ninety, each process telling two others four times a
 * second.
 */
class HeartbeatPropagationTest {
    private static final int PROCESSES = 90;
    private static final int FAN_OUT = 2;
    private static final long GOSSIP_INTERVAL_MILLIS = 300;
    /** Loss on a bad link, as measured where links are disturbed. */
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
     * A sound process is taken for dead where its signs of life are too old. Callers are then kept away from it, and
     * its part of quotas is given to others.
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

    /** A process is killed. Others go on telling each other of it and must not keep it alive among themselves. */
    @Test
    void killedProcessIsSuspectedByEveryPeer() {
        for (int round = 0; round < 20; round++) {
            gossipRound(PROCESSES);
        }
        long killedAtMillis = nowMillis;
        int living = PROCESSES - 1;
        while (aliveInAnyTable(living)) {
            gossipRound(living);
        }
        assertThat(nowMillis - killedAtMillis, greaterThan(MemberTable.LARGE_FLEET_SUSPECT_TIMEOUT_MILLIS - 1));
        assertThat(nowMillis - killedAtMillis, lessThan(MemberTable.LARGE_FLEET_SUSPECT_TIMEOUT_MILLIS + 3_000));
    }

    @Test
    void heartbeatCarriesThePhase() {
        MemberTable one = tables.get(0);
        one.receive(new MemberHeartbeat("front-7".hashCode(), 1, 50, MemberPhase.MEMBER_LEAVING), 10);
        assertThat(one.serving(10).stream().anyMatch(report -> report.getName().equals("front-7")), is(false));
    }

    /** A process was restarted between two rounds. Its new lifetime has to be asked for, not taken for the old one. */
    @Test
    void heartbeatOfAnUnknownIncarnationIsRejected() {
        assertThat(
                tables.get(0).receive(new MemberHeartbeat("front-7".hashCode(), 2, 1, MemberPhase.MEMBER_SERVING), 10),
                is(false));
        assertThat(tables.get(0).receive(new MemberHeartbeat(12_345, 1, 1, MemberPhase.MEMBER_SERVING), 10), is(false));
    }

    /** A report that was passed on slowly comes after younger signs of life. It is news, but not of life. */
    @Test
    void olderReportDoesNotRevertANewerHeartbeat() {
        MemberTable one = tables.get(0);
        one.receive(new MemberHeartbeat("front-7".hashCode(), 1, 50, MemberPhase.MEMBER_LEAVING), 10);
        assertThat(
                one.receive(report(7).toBuilder().setSequence(40).setRevision(9).build(), 20), is(true));
        Member member = one.all().stream()
                .filter(known -> known.report().getName().equals("front-7"))
                .findFirst()
                .orElseThrow();
        assertThat(member.report().getRevision(), is(9L));
        assertThat(member.report().getPhase(), is(MemberPhase.MEMBER_LEAVING));
        assertThat(member.receivedAtMillis(), is(10L));
    }

    private boolean aliveInAnyTable(int living) {
        String dead = "front-" + living;
        return tables.subList(0, living).stream()
                .flatMap(table -> table.alive(nowMillis).stream())
                .anyMatch(member -> member.report().getName().equals(dead));
    }

    private void gossipRound(int living) {
        nowMillis += GOSSIP_INTERVAL_MILLIS;
        for (int from = 0; from < living; from++) {
            MemberTable table = tables.get(from);
            table.updateLocalReport(report(from).toBuilder());
            List<MemberHeartbeat> beats = table.heartbeats(90, nowMillis);
            for (int i = 0; i < FAN_OUT; i++) {
                MemberTable hearer = tables.get(random.nextInt(living));
                if (random.nextDouble() >= DATAGRAM_LOSS_RATIO) {
                    beats.forEach(beat -> hearer.receive(beat, nowMillis));
                }
            }
        }
    }

    private static MemberReport report(int process) {
        return Fixtures.report("front-" + process, 1, 1);
    }
}
