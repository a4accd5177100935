package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies what becomes of callers that have connected while the port is closed. */
class CallerAcceptorTest {
    /** Port beside that of the front of the fixture. */
    private static final int PORT = 18_215;
    /** More connections than the event loop accepts at a time. */
    private static final int WAITING = 40;

    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final List<Socket> callers = new ArrayList<>();
    private FrontFixture front;

    @BeforeEach
    void startFront() throws IOException {
        front = new FrontFixture();
        front.publishCatalog(1, READ_TIMEOUT_MILLIS, false, READ_TIMEOUT_MILLIS);
        front.target("target", (request, socket) -> FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole")));
    }

    @AfterEach
    void stopFront() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        front.close();
    }

    /**
     * Guards against resetting callers which have connected before the port is closed, and which the event loop has not
     * accepted yet.
     */
    @Test
    void waitingCallersAreServedAfterThePortIsClosed() throws Exception {
        CallerAcceptor acceptor =
                new CallerAcceptor(front.front(), front.front().loop(), CallerPort.open(front.ip() + ":" + PORT));
        CountDownLatch accepting = new CountDownLatch(1);
        acceptor.start(accepting::countDown);
        FrontFixture.awaitLatch(accepting);
        front.run(() -> {
            // The event loop accepts nothing while it runs this.
            for (int i = 0; i < WAITING; i++) {
                callers.add(sendRequest("waiting-" + i));
            }
            acceptor.stop();
        });
        for (Socket caller : callers) {
            assertThat(FrontFixture.readAll(caller), startsWith("HTTP/1.1 200"));
        }
    }

    private Socket sendRequest(String attempt) {
        try {
            Socket caller = new Socket(front.ip(), PORT);
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            FakeTarget.write(caller, FrontFixture.request("GET", "/safe/x", attempt, true));
            return caller;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
