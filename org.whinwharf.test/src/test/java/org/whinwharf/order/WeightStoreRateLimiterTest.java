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

    // Guards against loads above the rate of the weight store. After an outage no engine has a model and all stewards
    // send loads at once. The weight store rejects loads above its rate, so they would fail repeatedly while no engine
    // serves requests.
    @ParameterizedTest
    @CsvSource({"7,17,2", "40,100,4", "100,150,2"})
    void coldFleetLoadsAtTheRateLimit(int stewards, int targets, double loadsPerSecond) {
        List<Host> hosts = OrderFleet.stewards(stewards);
        List<Host> engines = OrderFleet.engines(targets);
        Membership list = OrderFleet.membership(3, hosts, engines);
        DocumentView document = OrderFleet.document(1, "1", true);
        Map<String, FakeEngine> coldEngines = new HashMap<>();
        engines.forEach(engine -> coldEngines.put(engine.getName(), new FakeEngine(true)));
        List<FakeSteward> fleet = new ArrayList<>();
        hosts.forEach(host -> fleet.add(new FakeSteward(host.getName(), loadsPerSecond, coldEngines)));
        fleet.forEach(steward -> steward.update(list, document, 0));

        List<Long> loadsAtMillis = new ArrayList<>();
        long roundMillis = Math.round(1_000 * targets / loadsPerSecond);
        // The first reads take one tick. A slot between a read and its response is lost until the next round, so the
        // loop runs for two rounds.
        for (long now = 0; now < 2 * roundMillis + 1_000; now += TICK_MILLIS) {
            for (FakeSteward steward : fleet) {
                int before = steward.sentAtMillis().size();
                steward.confirmList(now);
                steward.tick(now, UNIX_MILLIS + now, 0);
                for (int i = before; i < steward.sentAtMillis().size(); i++) {
                    loadsAtMillis.add(now);
                }
            }
        }
        assertThat("every engine is loaded once", loadsAtMillis.size(), is(targets));
        assertThat(maxCountWithin(1_000, loadsAtMillis), lessThanOrEqualTo((int) Math.ceil(loadsPerSecond) + 1));
        long firstRoundLoads =
                loadsAtMillis.stream().filter(at -> at <= roundMillis + 1_000).count();
        assertThat("the first round uses most of the rate", (double) firstRoundLoads, closeTo(targets, 0.1 * targets));
    }

    // The clocks of the hosts differ by up to half a second. Slots of different hosts then overlap by that offset, but
    // the rate must still hold over any longer time.
    @Test
    void clockOffsetsShiftLoadsByNoMoreThanTheOffset() {
        List<WeightStoreRateLimiter> limiters = new ArrayList<>();
        List<Long> offsets = new ArrayList<>();
        List<String> targets = names(60);
        Random random = new Random(7);
        for (int i = 0; i < 60; i++) {
            WeightStoreRateLimiter limiter = new WeightStoreRateLimiter(2);
            limiter.updateTargets(targets, Set.of(targets.get(i)), 0);
            limiters.add(limiter);
            offsets.add((long) random.nextInt(1_000) - 500);
        }
        List<Long> acquiredAtMillis = new ArrayList<>();
        for (long now = 0; now < 120_000; now += TICK_MILLIS) {
            for (int i = 0; i < limiters.size(); i++) {
                if (limiters.get(i).tryAcquire(now, UNIX_MILLIS + now + offsets.get(i))) {
                    acquiredAtMillis.add(now);
                }
            }
        }
        int maxLoadsIn10Seconds = maxCountWithin(10_000, acquiredAtMillis);
        assertThat(maxLoadsIn10Seconds, lessThanOrEqualTo(2 * (10 + 1) + 1));
    }

    // The wall clock of a host is set back by one second every second, so that the same slots repeat. The token bucket
    // must limit that host to its share of the rate, plus one initial token per target.
    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000, 4_500})
    void wallClockSetBackStaysWithinTheShare(long offsetMillis) {
        List<String> targets = names(10);
        WeightStoreRateLimiter limiter = new WeightStoreRateLimiter(2);
        limiter.updateTargets(targets, Set.copyOf(targets.subList(0, 2)), 0);
        int acquired = 0;
        for (long now = 0; now < 100_000; now += TICK_MILLIS) {
            long unix = UNIX_MILLIS + offsetMillis + now % 1_000;
            acquired += limiter.tryAcquire(now, unix) ? 1 : 0;
        }
        double shareOf100Seconds = 2.0 * 2 / 10 * 100;
        assertThat(acquired, lessThanOrEqualTo((int) shareOf100Seconds + 2));
    }

    @Test
    void loadsEngineWithoutModelsFirst() {
        List<Host> engines = OrderFleet.engines(2);
        FakeEngine outdatedEngine = new FakeEngine(true);
        outdatedEngine.order(OrderStep.load(model("0")).toOrder(1, ""));
        FakeEngine coldEngine = new FakeEngine(true);
        FakeSteward steward = new FakeSteward("entry-0", 1, Map.of("engine-0", outdatedEngine, "engine-1", coldEngine));
        steward.update(OrderFleet.membership(3, OrderFleet.stewards(1), engines), OrderFleet.document(1, "1", true), 0);
        for (long now = 0; coldEngine.accepted().isEmpty() && now < 10_000; now += TICK_MILLIS) {
            steward.confirmList(now);
            steward.tick(now, UNIX_MILLIS + now, 0);
            assertThat(outdatedEngine.accepted().size(), is(1));
        }
        assertThat(coldEngine.version("lampa"), is("1"));
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
        int maxCount = 0;
        for (long from : atMillis) {
            int within = (int) atMillis.stream()
                    .filter(at -> at >= from && at < from + windowMillis)
                    .count();
            maxCount = Math.max(maxCount, within);
        }
        return maxCount;
    }
}
