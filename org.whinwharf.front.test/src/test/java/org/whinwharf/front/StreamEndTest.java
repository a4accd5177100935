package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.netty.util.concurrent.MultithreadEventExecutorGroup;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against streams that end without their last event and without being counted. */
class StreamEndTest {
    private static final long DEADLINE_MILLIS = 5_000;
    private static final int TARGETS = 4;
    private static final int CALLERS = 8;
    private static final int STREAMS_PER_CALLER = 250;
    private static final int EVENTS = 20;

    // Guards against a partial last event that makes a truncated response look complete, to the caller and in the
    // metrics.
    @Test
    void responseEndingInsideEventIsAbortedAndCounted() throws IOException {
        try (FrontFixture fixture = new FrontFixture()) {
            fixture.target(
                    "t",
                    (request, socket) -> FakeTarget.write(
                            socket,
                            "HTTP/1.1 200 X\r\nAttempt: " + FakeTarget.attemptId(request)
                                    + "\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + FakeTarget.chunk("id: 1\ndata: a\n\nid: 2\nda") + "0\r\n\r\n"));
            fixture.publishCatalog(1, DEADLINE_MILLIS);
            String response = fixture.exchange(FrontFixture.request("POST", "/resumable/x", "a", true));
            assertThat(response, containsString("data: a"));
            assertThat(response, not(containsString("\r\n0\r\n\r\n")));
            assertThat(
                    fixture.front().metrics().scrape(),
                    containsString("whinwharf_answers_cut_total{cause=\"part-of-event\"} 1"));
        }
    }

    // Guards against concurrent responses that lose events or receive those of another response.
    @Test
    void concurrentStreamsArriveCompleteAndSeparate() throws Exception {
        try (FrontFixture fixture = new FrontFixture()) {
            for (int target = 0; target < TARGETS; target++) {
                fixture.target("t" + target, StreamEndTest::writeEventStream);
            }
            fixture.publishCatalog(1, DEADLINE_MILLIS);
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            List<Future<?>> results = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                String name = "caller-" + caller + "-";
                results.add(callers.submit(() -> readStreams(fixture, name)));
            }
            for (Future<?> result : results) {
                result.get();
            }
            callers.shutdown();
        }
    }

    // Guards against buffers handed out twice: the allocator in use is safe only when a single thread uses all buffers.
    @Test
    void oneThreadAllocatesAndReleasesAllBuffers() throws IOException {
        try (FrontFixture fixture = new FrontFixture()) {
            MultithreadEventExecutorGroup loop =
                    (MultithreadEventExecutorGroup) fixture.front().loop();
            assertThat(loop.executorCount(), is(1));
        }
    }

    private static Void readStreams(FrontFixture fixture, String name) throws IOException {
        try (Socket socket = fixture.connect()) {
            for (int stream = 0; stream < STREAMS_PER_CALLER; stream++) {
                String attempt = name + stream;
                FakeTarget.write(socket, FrontFixture.request("POST", "/stream/x", attempt, false));
                String response = FrontFixture.readUntil(socket, "\r\n0\r\n\r\n");
                String body = response.substring(response.indexOf("\r\n\r\n") + 2);
                assertThat(
                        body.replaceAll("\r\n[0-9a-f]+\r\n", "").strip(),
                        is(events(attempt).strip()));
            }
        }
        return null;
    }

    private static void writeEventStream(String request, Socket socket) throws IOException {
        String attempt = FakeTarget.attemptId(request);
        FakeTarget.write(
                socket,
                "HTTP/1.1 200 X\r\nAttempt: " + attempt + "\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 0; event < EVENTS; event++) {
            FakeTarget.write(socket, FakeTarget.chunk(event(attempt, event)));
        }
        FakeTarget.write(socket, "0\r\n\r\n");
    }

    private static String events(String attempt) {
        return IntStream.range(0, EVENTS)
                .mapToObj(event -> event(attempt, event))
                .collect(Collectors.joining());
    }

    private static String event(String attempt, int event) {
        return "id: " + event + "\ndata: " + (attempt + " ").repeat(1 + event % 7) + "\n\n";
    }
}
