package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.endsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies the handling of callers that disconnect while the front's thread is busy. */
class LateCloseTest {
    private static final long TIMEOUT_MILLIS = 100_000;
    /** Long enough that no request is rejected during the test. */
    private static final long OBJECTIVE_MILLIS = 10_000;

    private final CountDownLatch slowResponseLatch = new CountDownLatch(1);
    private FrontFixture front;
    private FakeTarget target;

    @BeforeEach
    void startFront() throws IOException {
        front = new FrontFixture();
        target = new FakeTarget("127.0.0.1", (request, socket) -> {
            if (FakeTarget.attemptId(request).startsWith("slow")) {
                FrontFixture.awaitLatch(slowResponseLatch);
            }
            FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
        });
    }

    @AfterEach
    void stopFront() throws IOException {
        front.close();
        target.close();
    }

    /** Guards against dispatching a request whose caller closed the connection before the request was read. */
    @Test
    void requestReadTogetherWithCloseReachesNoTarget() throws Exception {
        front.publishCatalog(2, TIMEOUT_MILLIS);
        front.publish("target", "127.0.0.1", target.port(), 8);
        try (Socket caller = front.connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/safe/x", "first", false));
            FrontFixture.readUntil(caller, "whole");
            CountDownLatch unblock = front.blockThread();
            FakeTarget.write(caller, FrontFixture.request("POST", "/safe/x", "left", false));
            caller.close();
            unblock.countDown();
        }
        front.exchange(FrontFixture.request("POST", "/safe/x", "last", true));
        assertThat(attempts(), contains("first", "last"));
    }

    /**
     * Guards against giving a freed slot to a queued request whose caller has disconnected, when the close is read only
     * after the response that frees the slot.
     */
    @Test
    void slotFreedBeforePendingCloseGoesToNextRequest() throws Exception {
        front.publishCatalog(2, TIMEOUT_MILLIS, true, OBJECTIVE_MILLIS);
        front.publish("engine", "127.0.0.1", target.port(), 1);
        try (Socket first = front.connect();
                Socket second = front.connect();
                Socket caller = front.connect()) {
            // One request runs and one waits at the engine, so that the next one is queued at the front.
            FakeTarget.write(first, FrontFixture.request("POST", "/safe/x", "slow-1", true));
            FrontFixture.await(() -> target.requests().size() == 1);
            FakeTarget.write(second, FrontFixture.request("POST", "/safe/x", "slow-2", true));
            FrontFixture.await(() -> target.requests().size() == 2);
            FakeTarget.write(caller, FrontFixture.request("POST", "/safe/x", "left", false));
            FrontFixture.await(() -> queuedRequests() == 1);
            CountDownLatch unblock = front.blockThread();
            slowResponseLatch.countDown();
            // The response must arrive before the close, so that it is read first.
            Thread.sleep(100);
            caller.close();
            unblock.countDown();
            assertThat(FrontFixture.readAll(first), endsWith("whole"));
            assertThat(FrontFixture.readAll(second), endsWith("whole"));
        }
        front.exchange(FrontFixture.request("POST", "/safe/x", "last", true));
        assertThat(attempts(), contains("slow-1", "slow-2", "last"));
    }

    private int queuedRequests() {
        int[] count = new int[1];
        front.run(() -> count[0] = front.front().coordination().queuedRequests());
        return count[0];
    }

    private List<String> attempts() {
        return target.requests().stream().map(FakeTarget::attemptId).toList();
    }
}
