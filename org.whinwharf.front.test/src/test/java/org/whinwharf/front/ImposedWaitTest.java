package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests requests that a coordinator holds because targets may have crashed under them. */
class ImposedWaitTest {
    private static final int TARGETS = 5;
    private static final int ATTEMPTS = 4;
    private static final long TIMEOUT_MILLIS = 6_000;
    private static final long OBJECTIVE_MILLIS = 200;

    private final CountDownLatch released = new CountDownLatch(1);
    private final AtomicInteger runs = new AtomicInteger();

    /** Guards against a request that waits until its deadline for a hung target, because it may not run at two. */
    @Test
    void requestWhoseSecondTargetHangsIsSentToAThird() throws Exception {
        List<FakeTarget> targets = new CopyOnWriteArrayList<>();
        try (FrontFixture front = new FrontFixture()) {
            FakeTarget.Script script = (request, socket) -> {
                switch (runOf(request)) {
                    case 1 -> crash(targets, socket);
                    case 2 -> FrontFixture.awaitLatch(released);
                    default -> answer(request, socket);
                }
            };
            for (int i = 0; i < TARGETS; i++) {
                targets.add(front.target("t" + i, script));
            }
            front.publishCatalog(ATTEMPTS, TIMEOUT_MILLIS, false, OBJECTIVE_MILLIS);
            assertThat(front.exchange(FrontFixture.request("GET", "/safe/x", "a", true)), endsWith("whole"));
        } finally {
            released.countDown();
        }
    }

    /** Returns the number of a caller's run; 0 for a probe. */
    private int runOf(String request) {
        return request.contains("/safe/") ? runs.incrementAndGet() : 0;
    }

    private static void answer(String request, Socket socket) throws IOException {
        FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
    }

    private static void crash(List<FakeTarget> targets, Socket socket) throws IOException {
        for (FakeTarget target : targets) {
            if (target.port() == socket.getLocalPort()) {
                target.close();
            }
        }
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
