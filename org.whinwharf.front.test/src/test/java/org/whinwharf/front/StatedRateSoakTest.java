package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Targets that state rates, change them and state none again, while fronts are killed, frozen and started in series
 * that overlap. Callers use connections until their front is gone, or a new one for each request.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on, with
 * {@code -Dwhinwharf.soak.fronts=F} fronts at the start.
 */
class StatedRateSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 2);
    private static final int FRONTS = Integer.getInteger("whinwharf.soak.fronts", 4);
    private static final int TARGETS = 6;
    private static final int MAX_SERVICE_MILLIS = 400;
    private static final int KEPT_CALLERS = 8;
    private static final long KEPT_PAUSE_MILLIS = 150;
    private static final long CALL_INTERVAL_MILLIS = 40;
    private static final long FIRST_FAULT_MILLIS = 1_500;
    private static final long FAULT_MILLIS = 16_000;
    private static final int MAX_FAULT_INTERVAL_MILLIS = 1_200;
    private static final int MAX_FREEZE_MILLIS = 1_500;
    private static final long RECOVERY_MILLIS = 7_000;
    private static final int MIN_FRONTS = 2;
    private static final int MAX_STARTS = 4;
    /** Time after a statement from which it binds. */
    private static final long NOTICE_MILLIS = 1_000;

    private static final List<String> RATES = List.of("0", "0.2", "1", "2.5", "3.6", "8");

    /** A span in which a target stated one rate. */
    private record Span(int target, String rate, long fromMillis, long toMillis) {}

    private final List<Span> spans = new ArrayList<>();
    private final Map<Integer, Span> open = new HashMap<>();

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /** Guards against targets that get more than they state, or stay limited, whatever happens to fronts meanwhile. */
    @ParameterizedTest
    @MethodSource("seeds")
    void statedRatesAreKeptWhateverHappensToFronts(long seed) throws Exception {
        Random random = new Random(seed);
        ExecutorService callers = Executors.newCachedThreadPool();
        RatedFleet.Setup setup =
                new RatedFleet.Setup(FRONTS, TARGETS, random.nextBoolean(), 1 + random.nextInt(MAX_SERVICE_MILLIS));
        try (RatedFleet fleet = new RatedFleet(setup)) {
            long endMillis = fleet.nowMillis() + FAULT_MILLIS + RECOVERY_MILLIS;
            fleet.callEvery(CALL_INTERVAL_MILLIS, endMillis);
            for (int i = 0; i < KEPT_CALLERS; i++) {
                callers.submit(() -> {
                    fleet.callOverKeptConnections(KEPT_PAUSE_MILLIS, endMillis);
                    return null;
                });
            }
            injectFaults(fleet, random);
            Thread.sleep(endMillis - fleet.nowMillis());
            assertThat("requests beyond the stated rates", breaches(fleet), empty());
            assertThat("no front takes a target for limited", fleet.noLimitKnown(), is(true));
            assertThat("answered", fleet.answered(), greaterThan(fleet.sent() / 2));
        } finally {
            callers.shutdownNow();
        }
    }

    private void injectFaults(RatedFleet fleet, Random random) throws Exception {
        Thread.sleep(FIRST_FAULT_MILLIS);
        long untilMillis = fleet.nowMillis() + FAULT_MILLIS - FIRST_FAULT_MILLIS;
        int starts = 0;
        while (fleet.nowMillis() < untilMillis) {
            int target = random.nextInt(TARGETS);
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> state(fleet, target, RATES.get(random.nextInt(RATES.size())));
                case 3 -> stateNone(fleet, target);
                case 4 -> {
                    List<FrontFixture> serving = fleet.serving();
                    if (serving.size() > MIN_FRONTS) {
                        serving.get(random.nextInt(serving.size())).kill();
                    }
                }
                case 5 -> {
                    if (starts < MAX_STARTS) {
                        starts++;
                        fleet.fronts().startFrontBeside(indexOfServing(fleet));
                    }
                }
                default -> freeze(fleet, random);
            }
            Thread.sleep(random.nextInt(MAX_FAULT_INTERVAL_MILLIS));
        }
        for (int target = 0; target < TARGETS; target++) {
            stateNone(fleet, target);
        }
    }

    private static int indexOfServing(RatedFleet fleet) {
        int index = 0;
        while (fleet.fronts().front(index).killed()) {
            index++;
        }
        return index;
    }

    private static void freeze(RatedFleet fleet, Random random) throws InterruptedException {
        List<FrontFixture> serving = fleet.serving();
        CountDownLatch unblock = serving.get(random.nextInt(serving.size())).blockThread();
        fleet.at(fleet.nowMillis() + random.nextInt(MAX_FREEZE_MILLIS), unblock::countDown);
    }

    private void state(RatedFleet fleet, int target, String rate) {
        close(fleet, target);
        fleet.state(target, rate);
        open.put(target, new Span(target, rate, fleet.nowMillis(), Long.MAX_VALUE));
    }

    private void stateNone(RatedFleet fleet, int target) {
        close(fleet, target);
        fleet.stateNone(target);
    }

    private void close(RatedFleet fleet, int target) {
        Span span = open.remove(target);
        if (span != null) {
            spans.add(new Span(target, span.rate(), span.fromMillis(), fleet.nowMillis()));
        }
    }

    /** Returns the spans in which a target got too many requests, each span judged by itself. */
    private List<String> breaches(RatedFleet fleet) {
        List<String> breaches = new ArrayList<>();
        for (Span span : spans) {
            int most = fleet.mostInWindow(span.target(), span.fromMillis() + NOTICE_MILLIS, span.toMillis());
            int allowed = RatedFleet.maxInWindow(Double.parseDouble(span.rate()));
            if (most > allowed) {
                breaches.add(span + ": " + most + " of " + allowed);
            }
        }
        return breaches;
    }
}
