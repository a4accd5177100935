package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests that a front without a path to the targets sends through a peer. */
class RelayTest {
    private static final int TARGETS = 3;
    private static final long TIMEOUT_SECONDS = 20;
    /** Length and kind of a frame, and a message with one field. */
    private static final int MAX_REFUSAL_BYTES = 7;

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final CountDownLatch released = new CountDownLatch(1);
    private CutFleet fleet;

    /** Starts a fleet in which the first front reaches no target and has sent a request through a peer. */
    private void startPartitioned(int fronts, FakeTarget.Script script) throws Exception {
        fleet = new CutFleet(fronts, TARGETS, false, script);
        fleet.cut(0, CutLink.Cut.REFUSED);
        assertThat(request(0, "partition"), startsWith("HTTP/1.1 200"));
    }

    private String request(int front, String attempt) {
        try {
            return fleet.front(front).exchange(FrontFixture.request("GET", "/safe/x", attempt, true));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private boolean partitioned(int front) {
        boolean[] result = new boolean[1];
        fleet.front(front).run(() -> result[0] = fleet.front(front).front().partitioned());
        return result[0];
    }

    @AfterEach
    void stopFleet() throws IOException {
        released.countDown();
        if (fleet != null) {
            fleet.close();
        }
    }

    private static void answer(String request, Socket socket) throws IOException {
        FakeTarget.write(socket, FakeTarget.answer(request, 200, "whole"));
    }

    /** Guards against changing or losing bytes of a large request or response that passes through a peer. */
    @Test
    void largeResponsePassesUnchanged() throws Exception {
        String body = "0123456789abcdef".repeat(60_000);
        startPartitioned(2, (request, socket) -> {
            String content = request.startsWith("GET /safe/large") ? body : "whole";
            FakeTarget.write(socket, FakeTarget.answer(request, 200, content));
        });
        String response = fleet.front(0).exchange(FrontFixture.request("GET", "/safe/large", "a", true));
        assertThat(response.endsWith("\r\n\r\n" + body), is(true));
    }

    /** Guards against breaking off a response that its target ends in order with its connection, behind a peer. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/stream/x"})
    void responseUntilEndOfConnectionIsComplete(String path) throws Exception {
        startPartitioned(2, (request, socket) -> untilClose(request, socket, () -> {}));
        String response = fleet.front(0).exchange(FrontFixture.request("GET", path, "a", true));
        assertThat(response, startsWith("HTTP/1.1 200"));
        assertThat(response, containsString("data: b\n\n"));
        assertThat(response, endsWith(path.startsWith("/stream") ? LAST_CHUNK : "data: b\n\n"));
    }

    /** Guards against taking the end of the connection between two fronts for the end of a response. */
    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/stream/x"})
    void responseIsNotCompleteWhenRelayIsKilled(String path) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        startPartitioned(2, (request, socket) -> {
            if (request.contains(path)) {
                untilClose(request, socket, () -> {
                    begun.countDown();
                    FrontFixture.awaitLatch(released);
                });
            } else {
                answer(request, socket);
            }
        });
        try (Socket caller = fleet.front(0).connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", path, "a", true));
            assertThat(begun.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
            fleet.front(1).kill();
            String response = FrontFixture.readAll(caller);
            assertThat(response, not(endsWith(LAST_CHUNK)));
            assertThat(response, not(containsString("data: b")));
            if (path.startsWith("/unsafe")) {
                assertThat(response, startsWith("HTTP/1.1 502"));
            }
        }
        assertThat(fleet.counter("whinwharf_ejections_total"), is(0.0));
    }

    /** Guards against losing a resumable stream whose relay is killed, while another peer reaches the targets. */
    @Test
    void resumableStreamGoesOnThroughAnotherRelay() throws Exception {
        startPartitioned(3, (request, socket) -> {
            if (request.toLowerCase(Locale.ROOT).contains("resume-after: 1")) {
                stream(request, socket, "id: 2\ndata: b\n\n");
            } else if (request.contains("/resumable/")) {
                untilClose(request, socket, () -> FrontFixture.awaitLatch(released));
            } else {
                answer(request, socket);
            }
        });
        try (Socket caller = fleet.front(0).connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/resumable/x", "a", true));
            assertThat(FrontFixture.readUntil(caller, "data: a\n\n"), startsWith("HTTP/1.1 200"));
            fleet.front(relayingFront()).kill();
            String rest = FrontFixture.readAll(caller);
            assertThat(rest, containsString("data: b"));
            assertThat(rest, endsWith(LAST_CHUNK));
        }
    }

    private int relayingFront() {
        return fleet.front(1).front().relayedConnections() > 0 ? 1 : 2;
    }

    /** Guards against a run that goes on at its target after the caller has left the front that relays it. */
    @Test
    void callerWhoLeavesCancelsRunAtTarget() throws Exception {
        startPartitioned(2, (request, socket) -> {
            if (request.contains("/unsafe/")) {
                // Returns only once the front has closed its side.
                assertThat(socket.getInputStream().read(), is(-1));
                socket.close();
            } else {
                answer(request, socket);
            }
        });
        try (Socket caller = fleet.front(0).connect()) {
            FakeTarget.write(caller, FrontFixture.request("POST", "/unsafe/x", "left", false));
            FrontFixture.await(() -> runs("left") == 1);
        }
        for (FakeTarget target : fleet.targets()) {
            if (target.requests().stream().anyMatch(request -> request.contains("Attempt: left"))) {
                String closed = target.closedConnections().poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertThat(closed, notNullValue());
            }
        }
        FrontFixture.await(() -> fleet.front(1).front().relayedConnections() == 0);
    }

    /** Guards against relays in a circle among fronts of which none reaches a target. */
    @Test
    void partitionedPeersDoNotRelay() throws Exception {
        startPartitioned(2, RelayTest::answer);
        fleet.cut(1, CutLink.Cut.REFUSED);
        FrontFixture.await(() -> {
            request(0, "partition");
            request(1, "partition");
            return partitioned(0) && partitioned(1);
        });
        Set<Integer> statuses = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 20; i++) {
            String response = fleet.front(i % 2).exchange(FrontFixture.request("POST", "/unsafe/x", "c" + i, true));
            statuses.add(Integer.parseInt(response.substring(9, 12)));
        }
        assertThat(statuses, is(Set.of(503)));
        FrontFixture.await(() -> fleet.front(0).front().relayedConnections() == 0
                && fleet.front(1).front().relayedConnections() == 0);
    }

    /** Guards against a front whose relay connections take the memory and descriptors of its own callers. */
    @Test
    void relayConnectionsAreLimited() throws Exception {
        List<Socket> peers = new ArrayList<>();
        try (FrontFixture front = new FrontFixture()) {
            FakeTarget target = front.target("t0", RelayTest::answer);
            front.publishCatalog(1, 5_000);
            while (peers.size() < RelayServer.MAX_CONNECTIONS) {
                peers.add(front.openRelay("t0"));
                // No more at a time than the target's queue of connections holds.
                FrontFixture.await(() -> target.connectionCount() == peers.size());
            }
            for (int i = 0; i < 20; i++) {
                Socket beyond = front.openRelay("t0");
                peers.add(beyond);
                assertThat(FrontFixture.readAll(beyond).length(), lessThanOrEqualTo(MAX_REFUSAL_BYTES));
            }
            assertThat(
                    front.exchange(FrontFixture.request("POST", "/unsafe/x", "own", true)), startsWith("HTTP/1.1 200"));
            assertThat(target.connectionCount(), lessThanOrEqualTo(RelayServer.MAX_CONNECTIONS + 1));
            for (Socket peer : peers) {
                peer.close();
            }
            FrontFixture.await(() -> front.front().relayedConnections() == 0);
        }
    }

    /** Guards against ejecting nobody: a target that no front reaches must still be taken out of use. */
    @Test
    void targetThatNobodyReachesIsEjected() throws Exception {
        fleet = new CutFleet(3, TARGETS, true, RelayTest::answer);
        fleet.requestsToAllFor("POST", "/unsafe/x", 300);
        int mostUsed = IntStream.range(0, TARGETS)
                .boxed()
                .max(Comparator.comparingInt(
                        index -> fleet.targets().get(index).requests().size()))
                .orElseThrow();
        for (int i = 0; i < 3; i++) {
            fleet.links(i).get(mostUsed).cut(CutLink.Cut.RESET);
        }
        List<List<String>> responses = fleet.requestsToAllFor("GET", "/safe/x", 1_000);
        assertThat(fleet.counter("whinwharf_ejections_total") >= 1, is(true));
        for (List<String> ofFront : responses) {
            assertThat(
                    ofFront.stream()
                            .filter(response -> !response.startsWith("HTTP/1.1 200"))
                            .toList(),
                    hasSize(0));
        }
    }

    private long runs(String attempt) {
        return fleet.targets().stream()
                .flatMap(target -> target.requests().stream())
                .filter(request -> request.contains("Attempt: " + attempt))
                .count();
    }

    private interface Pause {
        void pause() throws IOException;
    }

    /** Answers with two events in a response that lasts until the connection ends. */
    private static void untilClose(String request, Socket socket, Pause pause) throws IOException {
        FakeTarget.write(
                socket,
                "HTTP/1.1 200 X\r\nAttempt: " + FakeTarget.attemptId(request)
                        + "\r\nSigned: yes\r\n\r\nid: 1\ndata: a\n\n");
        pause.pause();
        FakeTarget.write(socket, "id: 2\ndata: b\n\n");
        socket.close();
    }

    private static void stream(String request, Socket socket, String events) throws IOException {
        FakeTarget.write(
                socket,
                "HTTP/1.1 200 X\r\nAttempt: " + FakeTarget.attemptId(request)
                        + "\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n" + FakeTarget.chunk(events)
                        + LAST_CHUNK);
    }
}
