package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies that a request is placed once in a turn of the event loop, and that the loop's tasks outlive failures. */
class PlacementTurnTest {
    private static final long COORDINATOR_TIMEOUT_MILLIS = 120;
    /** Little more than the time after which a coordinator that does not reply is given up. */
    private static final long DEADLINE_MILLIS = 140;

    private static final long OBJECTIVE_MILLIS = 1_000;
    private static final int REQUESTS = 20;

    private final List<FrontFixture> fronts = new ArrayList<>();

    @BeforeEach
    void startFronts() throws IOException {
        fronts.add(new FrontFixture(List.of(), COORDINATOR_TIMEOUT_MILLIS));
        fronts.add(new FrontFixture(List.of(fronts.get(0).ip()), COORDINATOR_TIMEOUT_MILLIS));
        FakeTarget target = fronts.get(0)
                .target("t", (request, socket) -> FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole")));
        fronts.get(1).publish("t", fronts.get(0).ip(), target.port(), 8);
        fronts.forEach(front -> front.publishCatalog(1, DEADLINE_MILLIS, true, OBJECTIVE_MILLIS));
    }

    @AfterEach
    void stopFronts() throws IOException {
        for (FrontFixture front : fronts) {
            front.close();
        }
    }

    /**
     * Guards against placing a request anew within one call, again and again, when it gets a connection with too little
     * time left: the overflow of the stack ended the timers of the process for good.
     */
    @Test
    void requestsThatLoseTheirCoordinatorTooLateAreAnswered() throws Exception {
        FrontFixture survivor = survivorOfCoordinator();
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Socket caller = survivor.connect();
            callers.add(caller);
            FakeTarget.write(caller, FrontFixture.request("GET", "/safe/x", "b" + i, true));
            TimeUnit.MILLISECONDS.sleep(1);
        }
        for (Socket caller : callers) {
            try (caller) {
                assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 "));
            }
        }
    }

    /** Returns the front that is not the coordinator, right after the coordinator was killed. */
    private FrontFixture survivorOfCoordinator() throws Exception {
        for (FrontFixture front : fronts) {
            FrontFixture.await(() -> front.advertisedFronts() == fronts.size());
        }
        FrontFixture.await(() -> hasRemoteCoordinator(0) != hasRemoteCoordinator(1));
        int survivor = hasRemoteCoordinator(0) ? 0 : 1;
        // Leaves an idle connection, so that the next request has one at once.
        FrontFixture.await(() -> request(fronts.get(survivor)).startsWith("HTTP/1.1 200"));
        fronts.get(1 - survivor).kill();
        return fronts.get(survivor);
    }

    private boolean hasRemoteCoordinator(int index) {
        boolean[] remote = new boolean[1];
        FrontFixture front = fronts.get(index);
        front.run(() -> remote[0] = front.front().coordination().hasRemoteCoordinator("service"));
        return remote[0];
    }

    private static String request(FrontFixture front) {
        try {
            return front.exchange(FrontFixture.request("GET", "/safe/x", "a", true));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a task that is never run again because it has thrown an error once. */
    @Test
    void taskGoesOnAfterAnError() {
        Front front = fronts.get(0).front();
        TaskGuard guard = new TaskGuard(front.metrics(), front.ticker());
        int[] runs = new int[1];
        for (int i = 0; i < 2; i++) {
            guard.run("test", () -> {
                runs[0]++;
                throw new StackOverflowError();
            });
        }
        assertThat(runs[0], is(2));
        assertThat(fronts.get(0).counter("whinwharf_task_failures_total"), is(2.0));
    }
}
