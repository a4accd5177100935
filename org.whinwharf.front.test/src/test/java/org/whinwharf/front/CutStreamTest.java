package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies what becomes of streams that targets which live on end between two events, by what the fleet has seen. */
class CutStreamTest {
    private static final long DEADLINE_MILLIS = 5_000;
    /** Shorter than the time for which an end may be held. */
    private static final long SHORT_DEADLINE_MILLIS = 600;

    private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String LAST_EVENT = "id: 3\ndata: c\n\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    /** So many streams with a declared end show that others are few. */
    private static final int DECLARED_STREAMS = 30;
    /** So many streams that were found whole show that targets no longer cut them. */
    private static final int WHOLE_STREAMS = 20;

    /** Enough for each target to break off one. */
    private static final int BROKEN_STREAMS = 3;

    /** More than one datagram holds. */
    private static final int MANY_CHECKS = 5_000;

    private final AtomicInteger continuations = new AtomicInteger();
    private FrontFixture fixture;
    private FakeTarget first;
    private FakeTarget second;

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

    private static void writeDeclared(String request, Socket socket, String events) throws IOException {
        String chunk = events.isEmpty() ? "" : FakeTarget.chunk(events);
        FakeTarget.write(socket, head(request, "Transfer-Encoding: chunked\r\n") + chunk + "0\r\n\r\n");
    }

    /** Serves a stream as its path says; one that is continued has one event left if its path says that it is cut. */
    private void serve(String request, Socket socket) throws IOException {
        if (request.contains("/health")) {
            FakeTarget.write(socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
        } else if (request.toLowerCase(Locale.ROOT).contains("resume-after: 2")) {
            continuations.incrementAndGet();
            if (request.contains("/silent")) {
                return;
            }
            if (request.contains("/part-undeclared")) {
                FakeTarget.write(socket, head(request, "") + "id: 3\nda");
                socket.close();
            } else if (request.contains("/part")) {
                FakeTarget.write(
                        socket, head(request, "Transfer-Encoding: chunked\r\n") + FakeTarget.chunk("id: 3\nda"));
                socket.close();
            } else if (request.contains("/undeclared")) {
                FakeTarget.write(socket, head(request, ""));
                socket.close();
            } else {
                writeDeclared(request, socket, request.contains("/cut") ? LAST_EVENT : "");
            }
        } else if (request.contains("/declared")) {
            writeDeclared(request, socket, FIRST_EVENTS);
        } else if (request.contains("/alone")) {
            (socket.getLocalPort() == first.port() ? second : first).kill();
            FakeTarget.write(socket, head(request, "") + FIRST_EVENTS);
            socket.close();
        } else if (request.contains("/inside")) {
            FakeTarget.write(socket, head(request, "") + FIRST_EVENTS + "id: 3\nda");
            socket.close();
        } else if (request.contains("/broken")) {
            FakeTarget.write(socket, head(request, "Transfer-Encoding: chunked\r\n") + FakeTarget.chunk(FIRST_EVENTS));
            socket.close();
        } else {
            FakeTarget.write(socket, head(request, "") + FIRST_EVENTS);
            socket.close();
        }
    }

    private void startTargets() throws IOException {
        startTargets(DEADLINE_MILLIS);
    }

    private void startTargets(long deadlineMillis) throws IOException {
        first = fixture.target("t", this::serve);
        second = fixture.target("u", this::serve);
        fixture.publishCatalog(2, deadlineMillis);
    }

    private static String stream(FrontFixture front, String path) throws IOException {
        return front.exchange(FrontFixture.request("POST", path, "a" + System.nanoTime(), true));
    }

    private void streamDeclared(FrontFixture front) throws IOException {
        for (int i = 0; i < DECLARED_STREAMS; i++) {
            assertThat(stream(front, "/stream/declared"), endsWith(LAST_CHUNK));
        }
    }

    private static String events(String response) {
        return response.substring(response.indexOf("\r\n\r\n") + 4).replaceAll("(?m)^[0-9a-f]+\r\n|\r\n", "");
    }

    private static void assertLeftOpen(String response) {
        assertThat(events(response), is(FIRST_EVENTS));
        assertThat(response, not(containsString(LAST_CHUNK)));
    }

    /** Guards against a cut stream that looks complete, as its target has broken off no other response. */
    @Test
    void endIsDoubtedWhereOtherStreamsDeclareTheirs() throws IOException {
        startTargets();
        streamDeclared(fixture);
        String response = stream(fixture, "/resumable/cut");
        assertThat(events(response), is(FIRST_EVENTS + LAST_EVENT));
        assertThat(response, endsWith(LAST_CHUNK));
    }

    /** Guards against losing a whole stream whose end is doubted. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/whole", "/resumable/whole"})
    void wholeStreamIsCompleteWhereOtherStreamsDeclareTheirEnd(String path) throws IOException {
        startTargets();
        streamDeclared(fixture);
        String response = stream(fixture, path);
        assertThat(events(response), is(FIRST_EVENTS));
        assertThat(response, endsWith(LAST_CHUNK));
    }

    /** Guards against a cut stream that looks complete, as only another front has seen the target break off others. */
    @Test
    void endIsDoubtedWhereAPeerHasSeenItsTargetBreakOffAnother() throws Exception {
        startTargets();
        try (FrontFixture peer = peer()) {
            for (int i = 0; i < BROKEN_STREAMS; i++) {
                stream(peer, "/resumable/broken");
            }
            FrontFixture.await(() -> doubtsTarget("t") && doubtsTarget("u"));
            assertThat(events(stream(fixture, "/resumable/cut")), is(FIRST_EVENTS + LAST_EVENT));
        }
    }

    /** Guards against a cut stream that looks complete, though a target has begun to send the event that follows. */
    @ParameterizedTest
    @ValueSource(strings = {"/resumable/part", "/resumable/part-undeclared"})
    void streamOfWhichAPartOfAnEventFollowsIsLeftOpen(String path) throws IOException {
        startTargets();
        streamDeclared(fixture);
        assertLeftOpen(stream(fixture, path));
        assertThat("ends that were asked about", continuations.get(), is(1));
    }

    /**
     * Guards against leaving whole streams open, since a target that was asked for the rest of one has broken off
     * inside an event.
     */
    @Test
    void partOfAnEventShowsNoCut() throws Exception {
        startTargets();
        try (FrontFixture peer = peer()) {
            for (int i = 0; i < BROKEN_STREAMS; i++) {
                stream(peer, "/resumable/broken");
            }
            FrontFixture.await(() -> doubtsTarget("t") && doubtsTarget("u"));
            int continuationsBefore = continuations.get();
            assertLeftOpen(stream(fixture, "/resumable/part"));
            assertThat("ends that were asked about", continuations.get(), is(continuationsBefore + 1));
            assertThat(knowsOfCuts(), is(false));
            assertThat(stream(fixture, "/stream/whole"), endsWith(LAST_CHUNK));
        }
    }

    private boolean doubtsTarget(String id) {
        boolean[] doubted = new boolean[1];
        fixture.run(() -> doubted[0] = fixture.entry(id).brokeOffSince(0));
        return doubted[0];
    }

    /** Starts another front with the same targets. */
    private FrontFixture peer() throws InterruptedException {
        FrontFixture peer = new FrontFixture(List.of(fixture.ip()));
        peer.publish("t", fixture.ip(), first.port(), 8);
        peer.publish("u", fixture.ip(), second.port(), 8);
        peer.publishCatalog(2, DEADLINE_MILLIS);
        FrontFixture.await(() -> fixture.advertisedFronts() == 2);
        return peer;
    }

    /** Guards against a cut stream that looks complete though nobody may be asked, where others are known to be cut. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/cut", "/resumable/cut"})
    void endThatNobodyMayBeAskedAboutIsLeftOpenWhereStreamsAreCut(String path) throws IOException {
        startTargets();
        streamDeclared(fixture);
        stream(fixture, "/resumable/cut");
        fixture.reload(0, 0);
        assertLeftOpen(stream(fixture, path));
    }

    /** Guards against the same where a stream was cut inside an event, which the bytes show. */
    @Test
    void endIsLeftOpenWhereAStreamWithoutADeclaredEndWasCutInsideAnEvent() throws IOException {
        startTargets();
        stream(fixture, "/stream/inside");
        assertLeftOpen(stream(fixture, "/stream/cut"));
    }

    /** Guards against the same where only another front has seen a stream that was cut. */
    @Test
    void endIsLeftOpenWhereAPeerHasSeenStreamsThatAreCut() throws Exception {
        startTargets();
        try (FrontFixture peer = peer()) {
            stream(peer, "/stream/inside");
            FrontFixture.await(() -> knowsOfCuts());
            assertLeftOpen(stream(fixture, "/stream/cut"));
        }
    }

    private boolean knowsOfCuts() {
        boolean[] known = new boolean[1];
        fixture.run(() -> known[0] = fixture.front().streamEnds().cutsShown("service"));
        return known[0];
    }

    /** Guards against a front that takes each end for whole, since it has just started and saw no streams. */
    @Test
    void endIsDoubtedWhereTheStreamsOfPeersDeclareTheirs() throws Exception {
        startTargets();
        try (FrontFixture peer = peer()) {
            streamDeclared(peer);
            FrontFixture.await(this::peersReportStreams);
            assertThat(events(stream(fixture, "/resumable/cut")), is(FIRST_EVENTS + LAST_EVENT));
        }
    }

    private boolean peersReportStreams() {
        boolean[] reported = new boolean[1];
        fixture.run(() -> reported[0] = fixture.front().streamEnds().doubted("service", fixture.entry("t"), 1));
        return reported[0];
    }

    /** Guards against losing a whole stream whose end two targets tell, neither of which declares it. */
    @Test
    void endThatAnotherTargetTellsWithoutDeclaringItIsPassedOn() throws IOException {
        startTargets();
        streamDeclared(fixture);
        stream(fixture, "/stream/inside");
        assertThat(stream(fixture, "/resumable/undeclared"), endsWith(LAST_CHUNK));
        assertThat("ends that were asked about", continuations.get(), is(1));
    }

    /**
     * Guards against a caller that has all events of a whole stream and can't learn so, since no target declares it.
     */
    @Test
    void streamThatItsCallerResumesAtItsEndIsComplete() throws IOException {
        startTargets();
        fixture.exchange(FrontFixture.request("POST", "/resumable/undeclared", "first", true));
        String resumption = FrontFixture.request("POST", "/resumable/undeclared", "a", true)
                .replaceFirst("\r\n", "\r\nResumes: first\r\nResume-After: 2\r\n");
        String response = fixture.exchange(resumption);
        assertThat(response, startsWith("HTTP/1.1 200"));
        assertThat(events(response), is(""));
        assertThat(response, endsWith("\r\n0\r\n\r\n"));
        assertThat("targets that were asked", continuations.get(), is(2));
    }

    /** Guards against losing the ends of whole streams for longer than streams are found to be cut. */
    @Test
    void endIsPassedOnAgainOnceStreamsAreFoundWhole() throws IOException {
        startTargets();
        streamDeclared(fixture);
        stream(fixture, "/resumable/cut");
        assertLeftOpen(stream(fixture, "/stream/cut"));
        for (int i = 0; i < WHOLE_STREAMS; i++) {
            assertThat(stream(fixture, "/resumable/whole"), endsWith(LAST_CHUNK));
        }
        assertThat("ends that were asked about", continuations.get(), is(1 + WHOLE_STREAMS));
        assertThat(stream(fixture, "/stream/whole"), endsWith(LAST_CHUNK));
    }

    /** Guards against an end that is held until after the deadline, when its caller has given up. */
    @Test
    void endIsNotHeldBeyondTheDeadline() throws IOException {
        startTargets(SHORT_DEADLINE_MILLIS);
        streamDeclared(fixture);
        long startNanos = System.nanoTime();
        String response = stream(fixture, "/resumable/silent");
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(response, endsWith(LAST_CHUNK));
        assertThat(tookMillis, lessThan(SHORT_DEADLINE_MILLIS));
    }

    /** Guards against ends that seem odd, as responses to HEAD have no body and so declare theirs. */
    @Test
    void responsesWithoutAStreamAreNoStreamsWithADeclaredEnd() throws IOException {
        startTargets();
        for (int i = 0; i < DECLARED_STREAMS; i++) {
            fixture.exchange(FrontFixture.request("HEAD", "/stream/declared", "h" + i, true));
        }
        assertThat(stream(fixture, "/resumable/whole"), endsWith(LAST_CHUNK));
        assertThat("ends that were asked about", continuations.get(), is(0));
    }

    /** Guards against a retry budget that is used up by ends about which nobody was asked. */
    @Test
    void retryIsReturnedIfNobodyWasAskedAboutAnEnd() throws IOException {
        startTargets();
        streamDeclared(fixture);
        assertThat(stream(fixture, "/resumable/alone"), endsWith(LAST_CHUNK));
        assertThat("ends that were held", fixture.counter("whinwharf_stream_ends_verified_total"), is(1.0));
        assertThat("ends that were asked about", continuations.get(), is(0));
        assertThat(fixture.front().retryBudget("service").retries(), is(0));
    }

    /** Guards against a newcomer that learns of no check, as those of all services exceed a datagram. */
    @Test
    void newcomerIsSentTheChecksOfManyServices() {
        fixture.run(() -> {
            StreamEndTracker ends = fixture.front().streamEnds();
            for (int i = 0; i < MANY_CHECKS; i++) {
                ends.verified("service" + i, EndVerdict.WHOLE);
            }
            ends.sendAllTo(fixture.ip());
        });
        assertThat(fixture.counter("whinwharf_task_failures_total"), is(0.0));
    }
}
