package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Streams of random framing, division and length that targets end at random bytes, in order or by a reset.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on.
 */
class StreamFaultSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 3);
    private static final long DEADLINE_MILLIS = 10_000;
    private static final int TARGETS = 4;
    private static final int CALLERS = 6;
    private static final int REQUESTS_PER_CALLER = 40;
    private static final int MAX_EVENTS = 8;
    private static final int MAX_PART_LENGTH = 40;
    private static final double FAULT_SHARE = 0.3;
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final Pattern RESUME_AFTER = Pattern.compile("resume-after: (\\d+)");
    private static final Pattern CHUNK_HEAD = Pattern.compile("([0-9a-f]+)\r\n");

    private enum Framing {
        LENGTH,
        CHUNKED,
        UNTIL_CLOSE;

        String header(int bodyLength) {
            return switch (this) {
                case LENGTH -> "Content-Length: " + bodyLength + "\r\n";
                case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                case UNTIL_CLOSE -> "";
            };
        }

        String frame(String part) {
            return this == CHUNKED ? FakeTarget.chunk(part) : part;
        }
    }

    private enum Ending {
        /** The whole body is sent, and its end is declared where the framing has a way to do so. */
        WHOLE,
        /** The connection is closed in order. */
        CLOSED,
        RESET
    }

    /**
     * Attempts of which a run without a declared end was ended in order, between two events, by a target that lives on.
     * That is the end of the response; targets that are killed are those of the fleet's soak.
     */
    private final Set<String> endedByTarget = ConcurrentHashMap.newKeySet();

    private final AtomicInteger completed = new AtomicInteger();

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /**
     * Guards against a truncated stream that looks complete, and against joining pieces of two runs inside an event.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void completeStreamsAreWholeAndOthersAreTheirBeginning(long seed) throws Exception {
        try (FrontFixture fixture = new FrontFixture()) {
            Random random = new Random(seed);
            for (int i = 0; i < TARGETS; i++) {
                Random targetRandom = new Random(random.nextLong());
                fixture.target("t" + i, (request, socket) -> answer(request, socket, targetRandom));
            }
            fixture.publishCatalog(3, DEADLINE_MILLIS);
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            List<Future<?>> results = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                String name = seed + "-" + caller + "-";
                results.add(callers.submit(() -> callRepeatedly(fixture, name)));
            }
            for (Future<?> result : results) {
                result.get();
            }
            callers.shutdown();
            assertThat("complete streams", completed.get(), greaterThan(CALLERS));
        }
    }

    private Void callRepeatedly(FrontFixture fixture, String name) throws IOException {
        for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
            String attempt = name + i;
            String path = i % 2 == 0 ? "/resumable/x" : "/stream/x";
            check(attempt, i % 2 == 0, fixture.exchange(FrontFixture.request("POST", path, attempt, true)));
        }
        return null;
    }

    private void check(String attempt, boolean resumable, String response) {
        if (!response.startsWith("HTTP/1.1 200")) {
            return;
        }
        String whole = events(attempt, 0);
        String chunks = response.substring(response.indexOf("\r\n\r\n") + 4);
        String body = joinChunks(chunks);
        assertThat(attempt, whole, startsWith(body));
        boolean atBoundary = endsAtEvent(body);
        if (resumable) {
            assertThat(attempt + " ends at an event", atBoundary, is(true));
        }
        if (chunks.endsWith(LAST_CHUNK)) {
            completed.incrementAndGet();
            assertThat(attempt + " ends at an event", atBoundary && !body.isEmpty(), is(true));
            assertThat(attempt + " is whole", body.equals(whole) || endedByTarget.contains(attempt), is(true));
        }
    }

    /** Returns the content of complete chunks; an incomplete one at the end is left out. */
    private static String joinChunks(String chunks) {
        StringBuilder body = new StringBuilder();
        Matcher head = CHUNK_HEAD.matcher(chunks);
        int position = 0;
        while (head.find(position) && head.start() == position) {
            int end = head.end() + Integer.parseInt(head.group(1), 16);
            if (end + 2 > chunks.length()) {
                break;
            }
            body.append(chunks, head.end(), end);
            position = end + 2;
        }
        return body.toString();
    }

    private static boolean endsAtEvent(String body) {
        return body.isEmpty() || body.endsWith("\n\n") || body.endsWith("\r\n\r\n");
    }

    /**
     * How a target answers one request.
     *
     * @param framing framing that the head declares
     * @param ending how the response ends
     * @param length number of bytes sent of the body
     * @param partLength number of bytes in each write
     */
    private record Answer(Framing framing, Ending ending, int length, int partLength) {
        static Answer draw(Random random, int bodyLength) {
            synchronized (random) {
                Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
                boolean fault = random.nextDouble() < FAULT_SHARE;
                Ending ending = !fault ? Ending.WHOLE : random.nextBoolean() ? Ending.RESET : Ending.CLOSED;
                int length = fault ? random.nextInt(bodyLength + 1) : bodyLength;
                return new Answer(framing, ending, length, 1 + random.nextInt(MAX_PART_LENGTH));
            }
        }
    }

    private void answer(String request, Socket socket, Random random) throws IOException {
        String attempt = FakeTarget.attemptId(request);
        Matcher resumed = RESUME_AFTER.matcher(request.toLowerCase(Locale.ROOT));
        String body = events(attempt, resumed.find() ? Integer.parseInt(resumed.group(1)) : 0);
        Answer answer = Answer.draw(random, body.length());
        String sent = body.substring(0, answer.length());
        boolean undeclared = answer.framing() == Framing.UNTIL_CLOSE && answer.ending() == Ending.CLOSED;
        if (undeclared && !sent.isEmpty() && endsAtEvent(sent)) {
            endedByTarget.add(attempt);
        }
        String framingHeader = answer.framing().header(body.length());
        FakeTarget.write(
                socket, "HTTP/1.1 200 X\r\nAttempt: " + attempt + "\r\nSigned: yes\r\n" + framingHeader + "\r\n");
        for (int from = 0; from < sent.length(); from += answer.partLength()) {
            String part = sent.substring(from, Math.min(sent.length(), from + answer.partLength()));
            FakeTarget.write(socket, answer.framing().frame(part));
        }
        end(socket, answer);
    }

    private static void end(Socket socket, Answer answer) throws IOException {
        boolean whole = answer.ending() == Ending.WHOLE;
        if (whole && answer.framing() == Framing.CHUNKED) {
            FakeTarget.write(socket, LAST_CHUNK);
        }
        if (answer.ending() == Ending.RESET) {
            socket.setSoLinger(true, 0);
        }
        if (!whole || answer.framing() == Framing.UNTIL_CLOSE) {
            socket.close();
        }
    }

    /** Returns the events of an attempt after the given id; the same for each run of the attempt. */
    private static String events(String attempt, int afterId) {
        Random random = new Random(attempt.hashCode());
        String lineEnd = random.nextBoolean() ? "\n" : "\r\n";
        int count = 1 + random.nextInt(MAX_EVENTS);
        StringBuilder events = new StringBuilder();
        for (int id = 1; id <= count; id++) {
            String data = (attempt + "." + id + " ").repeat(1 + random.nextInt(5));
            if (id > afterId) {
                events.append("id: ").append(id).append(lineEnd);
                events.append("data: ").append(data).append(lineEnd).append(lineEnd);
            }
        }
        return events.toString();
    }
}
