package org.whinwharf.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;
import org.whinwharf.wire.schema.Host;

class WeightStoreRateLimiterTest {
    private static final long UNIX_MILLIS = 1_790_000_000_000L;
    private static final long TICK_MILLIS = 50;

    // After an outage every engine is cold and every steward wants to load at once. The weight store refuses what comes
    // above its rate, and one would notice loads that fail again and again while nothing serves.
    @ParameterizedTest
    @CsvSource({"7,17,2", "40,100,4", "100,150,2"})
    void coldFleetLoadsAtTheRateLimit(int stewards, int targets, double loadsPerSecond) {
        List<Host> hosts = OrderFleet.stewards(stewards);
        List<Host> engines = OrderFleet.engines(targets);
        Membership list = OrderFleet.membership(3, hosts, engines);
        DocumentView document = OrderFleet.document(1, "1", true);
        Map<String, FakeEngine> cold = new HashMap<>();
        engines.forEach(engine -> cold.put(engine.getName(), new FakeEngine(true)));
        List<FakeSteward> fleet = new ArrayList<>();
        hosts.forEach(host -> fleet.add(new FakeSteward(host.getName(), loadsPerSecond, cold)));
        fleet.forEach(each -> each.update(list, document, 0));

        List<Long> loadsAtMillis = new ArrayList<>();
        long wholeRoundMillis = Math.round(1_000 * targets / loadsPerSecond);
        // The first readings take a tick, and a turn that falls between a reading and its answer is lost until the next
        // round.
        for (long now = 0; now < 2 * wholeRoundMillis + 1_000; now += TICK_MILLIS) {
            for (FakeSteward each : fleet) {
                int before = each.sentAtMillis().size();
                each.confirmList(now);
                each.tick(now, UNIX_MILLIS + now, 0);
                for (int i = before; i < each.sentAtMillis().size(); i++) {
                    loadsAtMillis.add(now);
                }
            }
        }
        assertThat("every engine is loaded once", loadsAtMillis.size(), is(targets));
        assertThat(maxCountWithin(1_000, loadsAtMillis), lessThanOrEqualTo((int) Math.ceil(loadsPerSecond) + 1));
        long firstRound = loadsAtMillis.stream()
                .filter(at -> at <= wholeRoundMillis + 1_000)
                .count();
        assertThat("most of the rate is used", (double) firstRound, closeTo(targets, 0.1 * targets));
    }

    // Clocks of hosts differ by up to half a second. Turns then overlap by that time, but the rate must still hold over
    // any longer time.
    @Test
    void clockOffsetsShiftLoadsByNoMoreThanTheOffset() {
        List<WeightStoreRateLimiter> stewards = new ArrayList<>();
        List<Long> offsets = new ArrayList<>();
        List<String> targets = names(60);
        Random random = new Random(7);
        for (int i = 0; i < 60; i++) {
            WeightStoreRateLimiter turns = new WeightStoreRateLimiter(2);
            turns.updateTargets(targets, Set.of(targets.get(i)), 0);
            stewards.add(turns);
            offsets.add((long) random.nextInt(1_000) - 500);
        }
        List<Long> taken = new ArrayList<>();
        for (long now = 0; now < 120_000; now += TICK_MILLIS) {
            for (int i = 0; i < stewards.size(); i++) {
                if (stewards.get(i).tryAcquire(now, UNIX_MILLIS + now + offsets.get(i))) {
                    taken.add(now);
                }
            }
        }
        int mostIn10Seconds = maxCountWithin(10_000, taken);
        assertThat(mostIn10Seconds, lessThanOrEqualTo(2 * (10 + 1) + 1));
    }

    // The wall clock of a host is set back by a second, again and again, so that the same turns come round each second.
    // The tokens bound what that host can take.
    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000, 4_500})
    void wallClockSetBackStaysWithinTheShare(long offsetMillis) {
        List<String> targets = names(10);
        WeightStoreRateLimiter turns = new WeightStoreRateLimiter(2);
        turns.updateTargets(targets, Set.copyOf(targets.subList(0, 2)), 0);
        int taken = 0;
        for (long now = 0; now < 100_000; now += TICK_MILLIS) {
            long unix = UNIX_MILLIS + offsetMillis + now % 1_000;
            taken += turns.tryAcquire(now, unix) ? 1 : 0;
        }
        double shareOf100Seconds = 2.0 * 2 / 10 * 100;
        assertThat(taken, lessThanOrEqualTo((int) shareOf100Seconds + 2));
    }

    @Test
    void loadsEngineWithoutModelsFirst() {
        List<Host> engines = OrderFleet.engines(2);
        FakeEngine outdated = new FakeEngine(true);
        outdated.order(OrderStep.load(model("0")).toOrder(1, ""));
        FakeEngine cold = new FakeEngine(true);
        FakeSteward steward = new FakeSteward("entry-0", 1, Map.of("engine-0", outdated, "engine-1", cold));
        steward.update(OrderFleet.membership(3, OrderFleet.stewards(1), engines), OrderFleet.document(1, "1", true), 0);
        for (long now = 0; cold.accepted().isEmpty() && now < 10_000; now += TICK_MILLIS) {
            steward.confirmList(now);
            steward.tick(now, UNIX_MILLIS + now, 0);
            assertThat(outdated.accepted().size(), is(1));
        }
        assertThat(cold.version("lampa"), is("1"));
    }

    private static org.whinwharf.wire.schema.Model model(String version) {
        return org.whinwharf.wire.schema.Model.newBuilder()
                .setName("lampa")
                .setVersion(version)
                .build();
    }

    private static List<String> names(int count) {
        return OrderFleet.engines(count).stream().map(Host::getName).toList();
    }

    private static int maxCountWithin(long windowMillis, List<Long> atMillis) {
        int most = 0;
        for (long from : atMillis) {
            int within = (int) atMillis.stream()
                    .filter(at -> at >= from && at < from + windowMillis)
                    .count();
            most = Math.max(most, within);
        }
        return most;
    }
}
