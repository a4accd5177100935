package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what peers use a front for as a relay after it has begun to stop. */
class RelayStopTest {
    private static final int FRONTS = 3;
    private static final int TARGETS = 1;
    /** Shorter than the time for which targets keep connections, and than the grace period of the fixture. */
    private static final long STOP_MILLIS = 5_000;
    /** Length and kind of a frame, and a message with one field. */
    private static final int MAX_REFUSAL_BYTES = 7;

    private CutFleet fleet;

    @AfterEach
    void stopFleet() throws IOException {
        if (fleet != null) {
            fleet.close();
        }
    }

    private static void answer(String request, Socket socket) throws IOException {
        FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
    }

    private String request(String attempt) throws IOException {
        return fleet.front(0).exchange(FrontFixture.request("GET", "/safe/x", attempt, true));
    }

    private int relayed(int front) {
        int[] count = new int[1];
        fleet.front(front).run(() -> count[0] = fleet.front(front).front().relayedConnections());
        return count[0];
    }

    private int relay() {
        return relayed(1) > 0 ? 1 : 2;
    }

    private void startWithRelay() throws Exception {
        fleet = new CutFleet(FRONTS, TARGETS, false, RelayStopTest::answer);
        fleet.cut(0, CutLink.Cut.REFUSED);
        assertThat(request("first"), startsWith("HTTP/1.1 200"));
        FrontFixture.await(() -> relayed(1) + relayed(2) > 0);
    }

    /** Guards against requests over a kept connection through a front that has begun to stop and would cut them. */
    @Test
    void keptConnectionThroughLeavingRelayCarriesNoRequest() throws Exception {
        startWithRelay();
        int leaving = relay();
        int other = 3 - leaving;
        fleet.front(leaving).front().stop();
        FrontFixture.await(() -> fleet.front(0).advertisedFronts() == FRONTS - 1);
        assertThat(request("later"), startsWith("HTTP/1.1 200"));
        assertThat(relayed(other), is(1));
    }

    /** Guards against a stop that takes the whole grace period because peers keep connections that they do not use. */
    @Test
    void idleRelayedConnectionsDoNotDelayStop() throws Exception {
        startWithRelay();
        FrontFixture leaving = fleet.front(relay());
        CountDownLatch stopped = new CountDownLatch(1);
        leaving.front().onStopped(stopped::countDown);
        leaving.front().stop();
        assertThat(stopped.await(STOP_MILLIS, TimeUnit.MILLISECONDS), is(true));
    }

    /** Guards against a connection that a front opens for a peer while it stops, and cuts when it ends. */
    @Test
    void leavingFrontOpensNoRelayedConnection() throws Exception {
        try (FrontFixture front = new FrontFixture()) {
            FakeTarget target = front.target("t0", RelayStopTest::answer);
            front.publishCatalog(1, 5_000);
            front.front().stop();
            FrontFixture.await(() -> !front.front().ready());
            try (Socket peer = front.openRelay("t0")) {
                assertThat(FrontFixture.readAll(peer).length(), lessThanOrEqualTo(MAX_REFUSAL_BYTES));
            }
            assertThat(target.connectionCount(), is(0));
        }
    }
}
