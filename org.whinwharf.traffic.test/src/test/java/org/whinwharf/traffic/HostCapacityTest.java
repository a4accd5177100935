package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.MemberReport;

/**
 * Load pattern: three hundred callers connect to a fleet of eight large hosts and sixty-five with a quarter of their
 * processor time. Each asks the directory anew every few seconds and connects to one of the hosts that it is told.
 */
class HostCapacityTest {
    private static final int LARGE_HOSTS = 8;
    private static final int SMALL_HOSTS = 65;
    private static final int LARGE_PERCENT = 150;
    private static final int SMALL_PERCENT = 36;
    private static final int CONNECTIONS = 100_000;
    private static final int MAX_ADDRESSES = 64;

    private final MemberTable table = new MemberTable(report("large-0", LARGE_PERCENT));
    private final Random random = new Random(5);

    HostCapacityTest() {
        table.updateLocalReport(report("large-0", LARGE_PERCENT).toBuilder());
        for (int i = 1; i < LARGE_HOSTS; i++) {
            table.receive(report("large-" + i, LARGE_PERCENT), 0);
        }
        for (int i = 0; i < SMALL_HOSTS; i++) {
            table.receive(report("small-" + i, SMALL_PERCENT), 0);
        }
    }

    private static MemberReport report(String name, int processorPercent) {
        return Fixtures.report(name, 1, 1).toBuilder()
                .setProcessorPercent(processorPercent)
                .build();
    }

    private Map<String, Double> connections(Set<String> coordinators) {
        Map<String, Double> shares = new HashMap<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            List<MemberReport> sample = table.sampleByCapacity(0, MAX_ADDRESSES, coordinators, random);
            shares.merge(sample.get(random.nextInt(sample.size())).getName(), 1.0 / CONNECTIONS, Double::sum);
        }
        return shares;
    }

    /** Guards against small hosts that are overloaded while large ones are nearly idle. */
    @Test
    void noHostGetsMoreThanItsShareOfTheCallers() {
        double capacity = LARGE_HOSTS * LARGE_PERCENT + SMALL_HOSTS * SMALL_PERCENT;
        connections(Set.of()).forEach((name, share) -> {
            double fairShare = (name.startsWith("large") ? LARGE_PERCENT : SMALL_PERCENT) / capacity;
            assertThat(name, share, lessThanOrEqualTo(1.25 * fairShare));
            assertThat(name, share, greaterThanOrEqualTo(fairShare / 1.25));
        });
    }

    /** Guards against requests of all hosts that wait for a coordinator which is busy with callers of its own. */
    @Test
    void coordinatorGetsNoNewCallers() {
        assertThat(connections(Set.of("large-3")), not(hasKey("large-3")));
    }

    /** Guards against a directory that names nobody when every host coordinates a service. */
    @Test
    void coordinatorsAreNamedIfFewOthersServe() {
        MemberTable small = new MemberTable(report("a", LARGE_PERCENT));
        small.updateLocalReport(report("a", LARGE_PERCENT).toBuilder());
        small.receive(report("b", SMALL_PERCENT), 0);
        for (int i = 0; i < 100; i++) {
            assertThat(
                    small.sampleByCapacity(0, MAX_ADDRESSES, Set.of("a", "b"), random)
                            .isEmpty(),
                    is(false));
        }
    }

    /** Guards against fleets of like hosts, or of hosts of unknown size, that are served in another way than before. */
    @Test
    void likeHostsAreNamedEvenly() {
        table.receive(report("unknown", 0), 0);
        assertThat(table.sampleByCapacity(0, MAX_ADDRESSES, Set.of("large-3"), random), hasSize(MAX_ADDRESSES));
    }
}
