package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests fronts that take each other's coordinators for silent, so that each of them coordinates. */
class SeveralCoordinatorsTest {
    private static final int FRONTS = 7;
    /** Shorter than any reply takes. */
    private static final long COORDINATOR_TIMEOUT_MILLIS = 0;

    private static final double COLD_REQUESTS_PER_SECOND = 11;
    private static final long COLD_MILLIS = 60_000;
    private static final long ANSWER_MILLIS = 100;
    private static final long LOAD_MILLIS = 3_000;
    private static final int CALLERS_PER_FRONT = 6;

    private final List<FrontFixture> fronts = new ArrayList<>();
    private final List<FakeTarget> targets = new ArrayList<>();
    private final ExecutorService callers = Executors.newCachedThreadPool();

    @AfterEach
    void stopFleet() throws IOException {
        callers.shutdownNow();
        for (FrontFixture front : fronts) {
            front.close();
        }
        for (FakeTarget target : targets) {
            target.close();
        }
    }

    /** Guards against coordinators that each let a cold target receive what at most two of them may. */
    @Test
    void coldTargetBearsAnyNumberOfCoordinators() throws Exception {
        while (fronts.size() < FRONTS) {
            List<String> seeds =
                    fronts.isEmpty() ? List.of() : List.of(fronts.get(0).ip());
            fronts.add(new FrontFixture(seeds, COORDINATOR_TIMEOUT_MILLIS));
        }
        fronts.forEach(front -> front.publishColdEngines(FleetLimits.DEFAULT, COLD_REQUESTS_PER_SECOND));
        for (FrontFixture front : fronts) {
            FrontFixture.await(() -> front.advertisedFronts() == FRONTS);
        }
        List<Long> coldMillis = new CopyOnWriteArrayList<>();
        publishTarget("warm", 0, new CopyOnWriteArrayList<>());
        publishTarget("cold", COLD_MILLIS, coldMillis);
        List<Future<?>> load = new ArrayList<>();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_MILLIS);
        for (FrontFixture front : fronts) {
            for (int i = 0; i < CALLERS_PER_FRONT; i++) {
                String caller = front.ip() + "-" + i;
                load.add(callers.submit(() -> sendUntil(front, caller, endNanos)));
            }
        }
        for (Future<?> caller : load) {
            caller.get();
        }
        assertThat("requests at the cold target", coldMillis.size(), greaterThan(0));
        assertThat(mostInASecond(coldMillis), lessThanOrEqualTo((int) COLD_REQUESTS_PER_SECOND));
    }

    private void publishTarget(String id, long coldMillis, List<Long> arrivals) throws IOException {
        FakeTarget target = new FakeTarget("127.0.0.1", (request, socket) -> {
            arrivals.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
            try {
                TimeUnit.MILLISECONDS.sleep(ANSWER_MILLIS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
        });
        targets.add(target);
        fronts.forEach(front -> front.publish(id, "127.0.0.1", target.port(), 8, 1, coldMillis));
    }

    private static Void sendUntil(FrontFixture front, String caller, long endNanos) throws IOException {
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            front.exchange(FrontFixture.request("GET", "/safe/x", caller + "-" + i, true));
        }
        return null;
    }

    private static int mostInASecond(List<Long> arrivalMillis) {
        List<Long> sorted = arrivalMillis.stream().sorted().toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < sorted.size(); i++) {
            while (sorted.get(i) - sorted.get(first) >= 1_000) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }
}
