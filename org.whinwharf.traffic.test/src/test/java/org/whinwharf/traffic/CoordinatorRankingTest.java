package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.coordination.CoordinatorRanking;
import org.whinwharf.traffic.member.Member;
import org.whinwharf.wire.fleet.MemberReport;

class CoordinatorRankingTest {
    @Test
    void rankingIsIndependentOfMemberOrder() {
        List<Member> fleet = fleet(30);
        List<Member> shuffled = new ArrayList<>(fleet);
        Collections.shuffle(shuffled, new Random(7));
        assertThat(CoordinatorRanking.rank("s", shuffled), is(CoordinatorRanking.rank("s", fleet)));
    }

    /**
     * The host of the coordinator restarts. If the restarted process coordinated again at once, it would place requests
     * without knowing the load, although its replacement knows all of it.
     */
    @Test
    void processThatWasJustStartedComesLast() {
        List<Member> fleet = fleet(5);
        MemberReport first = CoordinatorRanking.rank("s", fleet).get(0);
        fleet.removeIf(member -> member.report().equals(first));
        fleet.add(new Member(first, 3, 0));
        List<MemberReport> ranked = CoordinatorRanking.rank("s", fleet);
        assertThat(ranked.get(ranked.size() - 1).getName(), is(first.getName()));
    }

    /**
     * All processes of a fleet restart within a second of each other, and their heartbeats reach each process at
     * different times. When each process ranked by its own view of which processes have settled, dozens coordinated at
     * once. Every engine received several times its capacity, and all callers waited more than a second.
     */
    @Test
    void fleetThatStartedTogetherKeepsOneCoordinatorWhileItSettles() {
        Set<String> coordinators = new HashSet<>();
        Random random = new Random(5);
        for (long heartbeats = 1; heartbeats < 100; heartbeats++) {
            List<Member> seen = new ArrayList<>();
            for (Member member : fleet(82)) {
                seen.add(new Member(member.report(), Math.max(1, heartbeats - random.nextInt(18)), 0));
            }
            coordinators.add(CoordinatorRanking.rank("s", seen).get(0).getName());
        }
        assertThat(coordinators.size(), is(1));
    }

    @Test
    void hostWithMoreProcessorTimeComesFirst() {
        List<Member> fleet = fleet(5);
        fleet.add(member(Fixtures.report("strong", 1, 1).toBuilder().setProcessorPercent(150)));
        assertThat(CoordinatorRanking.rank("s", fleet).get(0).getName(), is("strong"));
    }

    @Test
    void servicesAreSpreadOverHosts() {
        Set<String> coordinators = new HashSet<>();
        List<Member> fleet = fleet(10);
        for (int service = 0; service < 19; service++) {
            coordinators.add(
                    CoordinatorRanking.rank("service-" + service, fleet).get(0).getName());
        }
        assertThat(coordinators.size(), greaterThan(5));
    }

    private static List<Member> fleet(int size) {
        List<Member> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            fleet.add(member(Fixtures.report("front-" + i, 1, 1).toBuilder().setProcessorPercent(36)));
        }
        return fleet;
    }

    private static Member member(MemberReport.Builder report) {
        return new Member(report.build(), 1_000, 0);
    }
}
