package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests that wait for a place at engines while the front that coordinates their service stops. */
class CoordinatorStopTest {
    private static final int FRONTS = 3;
    private static final int SLOTS = 7;
    /** Number of requests that the only target takes at once: an engine gets one beyond its slots. */
    private static final int PLACES = SLOTS + 1;

    private static final int WAITING_PER_FRONT = 2;
    /** Long enough for requests to wait through a whole stop. */
    private static final FleetLimits LIMITS = new FleetLimits(3, 120_000, 20_000, 1, 100);

    /** Longer than a busy machine delays a reply, so that no front takes a coordinator for silent. */
    private static final long COORDINATOR_TIMEOUT_MILLIS = 5_000;

    private final CountDownLatch released = new CountDownLatch(1);
    private final List<Socket> callers = new ArrayList<>();
    private final List<FrontFixture> fronts = new ArrayList<>();
    private FakeTarget target;
    private int coordinator;

    @BeforeEach
    void startFleetThatWaits() throws Exception {
        target = new FakeTarget("127.0.0.1", (request, socket) -> {
            if (request.contains("/unsafe/held")) {
                FrontFixture.awaitLatch(released);
            }
            FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
        });
        while (fronts.size() < FRONTS) {
            List<String> seeds =
                    fronts.isEmpty() ? List.of() : List.of(fronts.get(0).ip());
            FrontFixture front = new FrontFixture(seeds, COORDINATOR_TIMEOUT_MILLIS, true, LIMITS);
            front.publish("t", "127.0.0.1", target.port(), SLOTS);
            fronts.add(front);
        }
        fronts.forEach(front ->
                front.publishCatalog(LIMITS.attempts(), LIMITS.timeoutMillis(), true, LIMITS.objectiveMillis()));
        FrontFixture.await(this::agreeOnCoordinator);
        coordinator = coordinators().iterator().next();
        for (int i = 0; i < PLACES; i++) {
            send(i % FRONTS, "/unsafe/held", "held" + i);
        }
        FrontFixture.await(() -> runs() == PLACES);
        for (int i = 0; i < FRONTS * WAITING_PER_FRONT; i++) {
            send(i % FRONTS, "/unsafe/waiting", "waiting" + i);
        }
        FrontFixture.await(() -> queuedAt(coordinator) == FRONTS * WAITING_PER_FRONT);
    }

    @AfterEach
    void stopFleet() throws IOException {
        released.countDown();
        for (Socket caller : callers) {
            caller.close();
        }
        for (FrontFixture front : fronts) {
            front.close();
        }
        target.close();
    }

    /** Guards against requests that wait at a leaving coordinator until it halts, while the next one places others. */
    @Test
    void waitingRequestsMoveToTheNextCoordinatorAtOnce() throws Exception {
        fronts.get(coordinator).front().stop();
        FrontFixture.await(
                () -> !coordinators().contains(coordinator) && coordinators().size() == 1);
        int next = coordinators().iterator().next();
        FrontFixture.await(() -> queuedAt(next) == FRONTS * WAITING_PER_FRONT);
        assertThat(queuedAt(coordinator), is(0));
        assertThat(runs(), is((long) PLACES));
        released.countDown();
        for (Socket caller : callers) {
            assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 200"));
        }
        assertThat(runs(), is((long) PLACES + FRONTS * WAITING_PER_FRONT));
    }

    private void send(int front, String path, String attempt) throws IOException {
        Socket caller = fronts.get(front).connect();
        callers.add(caller);
        FakeTarget.write(caller, FrontFixture.request("POST", path, attempt, true));
    }

    private long runs() {
        return target.requests().stream()
                .filter(request -> request.startsWith("POST"))
                .count();
    }

    private int queuedAt(int front) {
        int[] queued = new int[1];
        fronts.get(front)
                .run(() -> queued[0] = fronts.get(front).front().coordination().queuedRequests());
        return queued[0];
    }

    private boolean agreeOnCoordinator() {
        Set<Integer> ranks = new HashSet<>();
        for (int i = 0; i < FRONTS; i++) {
            Coordination coordination = fronts.get(i).front().coordination();
            fronts.get(i).run(() -> ranks.add(coordination.localRank("service")));
        }
        return ranks.size() == FRONTS && coordinators().size() == 1;
    }

    /** Returns the fronts that any front takes for the coordinator. */
    private Set<Integer> coordinators() {
        Set<Integer> indices = new HashSet<>();
        for (int i = 0; i < FRONTS; i++) {
            Coordination coordination = fronts.get(i).front().coordination();
            fronts.get(i)
                    .run(() ->
                            coordination.coordinators(List.of("service")).forEach(name -> indices.add(indexOf(name))));
        }
        return indices;
    }

    private int indexOf(String name) {
        for (int i = 0; i < FRONTS; i++) {
            if (name.equals("front-" + fronts.get(i).ip())) {
                return i;
            }
        }
        throw new IllegalArgumentException("no front is named " + name);
    }
}
