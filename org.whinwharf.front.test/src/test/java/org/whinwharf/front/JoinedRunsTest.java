package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that a stream that another target goes on with has each event once, however its events bear their ids. */
class JoinedRunsTest {
    private static final long DEADLINE_MILLIS = 5_000;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    /** So many streams with a declared end show that others are few. */
    private static final int DECLARED_STREAMS = 30;

    private final AtomicInteger continuations = new AtomicInteger();
    private FrontFixture fixture;

    @BeforeEach
    void startFront() {
        fixture = new FrontFixture();
    }

    @AfterEach
    void stopFront() throws IOException {
        fixture.close();
    }

    private static String head(String request, String framing) {
        return "HTTP/1.1 200 X\r\nAttempt: " + FakeTarget.attemptId(request) + "\r\nSigned: yes\r\n" + framing + "\r\n";
    }

    private static void begin(String request, Socket socket) throws IOException {
        FakeTarget.write(socket, head(request, "Transfer-Encoding: chunked\r\n"));
    }

    private static void writeWhole(String request, Socket socket, String events) throws IOException {
        begin(request, socket);
        FakeTarget.write(socket, (events.isEmpty() ? "" : FakeTarget.chunk(events)) + "0\r\n\r\n");
    }

    private void startTargets(FakeTarget.Script script) throws IOException {
        for (String id : new String[] {"t", "u", "v"}) {
            fixture.target(id, (request, socket) -> {
                if (request.contains("/health")) {
                    FakeTarget.write(socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
                } else {
                    script.answer(request, socket);
                }
            });
        }
        fixture.publishCatalog(2, DEADLINE_MILLIS);
    }

    private String stream(String path) throws IOException {
        return fixture.exchange(FrontFixture.request("POST", path, "a" + System.nanoTime(), true));
    }

    private static String events(String response) {
        return response.substring(response.indexOf("\r\n\r\n") + 4)
                .replaceAll("(?m)^[0-9a-f]+\r\n", "")
                .replace("\r\n", "");
    }

    /** Returns the text after which a run goes on; empty if the run begins the stream. */
    private static String resumedAfter(String request) {
        String lower = request.toLowerCase(Locale.ROOT);
        int start = lower.indexOf("resume-after:");
        return start < 0
                ? ""
                : request.substring(start + "resume-after:".length(), request.indexOf("\r\n", start))
                        .trim();
    }

    /** Guards against an event that comes twice, as it bears no id and the stream is continued after the one before. */
    @ParameterizedTest
    @ValueSource(strings = {"data: b\n\n", "data: b\n\ndata: c\n\n", "event: x\ndata: b\n\n: ping\n\n"})
    void streamIsNotContinuedBehindAnEventWithoutAnId(String withoutId) throws IOException {
        startTargets((request, socket) -> {
            if (resumedAfter(request).isEmpty()) {
                begin(request, socket);
                FakeTarget.write(socket, FakeTarget.chunk("id: 1\ndata: a\n\n" + withoutId));
                socket.close();
            } else {
                continuations.incrementAndGet();
                writeWhole(request, socket, withoutId + "id: 4\ndata: d\n\n");
            }
        });
        String response = stream("/resumable/x");
        assertThat(events(response), is("id: 1\ndata: a\n\n" + withoutId));
        assertThat(response, not(endsWith(LAST_CHUNK)));
        assertThat("continuations", continuations.get(), is(0));
    }

    /** Guards against the same where an end is held while another target is asked. */
    @Test
    void endBehindAnEventWithoutAnIdIsNotVerifiedElsewhere() throws IOException {
        String whole = "id: 1\ndata: a\n\ndata: b\n\n";
        startTargets((request, socket) -> {
            if (request.contains("/declared")) {
                writeWhole(request, socket, whole);
            } else if (resumedAfter(request).isEmpty()) {
                FakeTarget.write(socket, head(request, "") + whole);
                socket.close();
            } else {
                continuations.incrementAndGet();
                writeWhole(request, socket, "data: b\n\n");
            }
        });
        for (int i = 0; i < DECLARED_STREAMS; i++) {
            assertThat(stream("/stream/declared"), endsWith(LAST_CHUNK));
        }
        assertThat(events(stream("/resumable/x")), is(whole));
        assertThat("continuations", continuations.get(), is(0));
    }

    /** Guards against breaking off a stream for a line that is no event, behind which it can be continued. */
    @ParameterizedTest
    @ValueSource(strings = {": ping\n\n", "\n", "retry: 100\n\n", "\r\n: ping\r\n\r\n"})
    void streamIsContinuedBehindLinesThatAreNoEvent(String lines) throws IOException {
        startTargets((request, socket) -> {
            if (resumedAfter(request).isEmpty()) {
                begin(request, socket);
                FakeTarget.write(socket, FakeTarget.chunk("id: 1\ndata: a\n\n"));
                FakeTarget.write(socket, FakeTarget.chunk(lines));
                socket.close();
            } else {
                assertThat(resumedAfter(request), is("1"));
                writeWhole(request, socket, "id: 2\ndata: b\n\n");
            }
        });
        String response = stream("/resumable/x");
        assertThat(events(response), endsWith("id: 2\ndata: b\n\n"));
        assertThat(response, endsWith(LAST_CHUNK));
    }

    /** Guards against an event that comes twice or not at all, wherever its bytes are parted and its run is cut. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 10|data: a||id: 20|data: b||",
                "data: a|id: 10||data: b|id: 20||",
                "event: x|data: id: 7|id: 10||data:id: 8|data: |id:20||",
                ": id: 9||id: 10|data: a||: ping||id: 20|data: b||"
            })
    void wholeEventsAndTheirLastIdAreToldWhereverTheBytesAreParted(String lines) {
        for (String lineEnd : new String[] {"\n", "\r\n"}) {
            String text = lines.replace("|", lineEnd);
            for (int length = 1; length <= text.length(); length++) {
                for (int part = 1; part <= length; part++) {
                    assertFramed(text.substring(0, length), part, lineEnd);
                }
            }
        }
    }

    private static void assertFramed(String text, int part, String lineEnd) {
        EventStreamFramer framer = new EventStreamFramer();
        EventBoundaryTracker tracker = new EventBoundaryTracker();
        StringBuilder passed = new StringBuilder();
        for (int i = 0; i < text.length(); i += part) {
            ByteBuf chunk = Unpooled.copiedBuffer(
                    text.substring(i, Math.min(text.length(), i + part)), StandardCharsets.US_ASCII);
            ByteBuf ready = framer.append(chunk, tracker.append(chunk));
            passed.append(ready.toString(StandardCharsets.US_ASCII));
            ready.release();
        }
        framer.discardPartialEvent();
        String boundary = lineEnd + lineEnd;
        int lastBoundary = text.lastIndexOf(boundary);
        String whole = lastBoundary < 0 ? "" : text.substring(0, lastBoundary + boundary.length());
        assertThat("in parts of " + part, passed.toString(), is(whole));
        boolean second = whole.contains("\nid: 20") || whole.contains("\nid:20");
        boolean first = whole.startsWith("id: 10") || whole.contains("\nid: 10");
        Optional<String> id = second ? Optional.of("20") : first ? Optional.of("10") : Optional.empty();
        assertThat("in parts of " + part + ": " + text, framer.lastEventId(), is(id));
    }
}
