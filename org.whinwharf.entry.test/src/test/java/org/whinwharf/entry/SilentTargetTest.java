package org.whinwharf.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.schema.Host;

class SilentTargetTest {
    private static final int TOKENS = 30;
    private static final int TOKENS_BEFORE_SILENCE = 5;
    private static final int STREAMS = 8;
    private static final long MOST_MILLIS = 20_000;
    /** Longer than the silence after which a stream is resumed. */
    private static final long PAUSE_MILLIS = 6_000;
    /** Longer than all attempts to resume a broken stream take together. */
    private static final long LONG_PAUSE_MILLIS = 14_000;

    private static final String REQUEST = "{\"service\":\"lampa-far\",\"model\":\"lampa\",\"prompt\":\"sort a lamp\","
            + "\"maxTokens\":" + TOKENS + ",\"stream\":true,\"deadlineMillis\":60000}";

    private static EntryFixture fixture;

    private final SilentLink link = new SilentLink(address(EntryFixture.FAR), address(EntryFixture.ENGINE));

    @BeforeAll
    static void startFixture() throws IOException {
        fixture = EntryFixture.shared();
    }

    @AfterEach
    void stopLink() {
        link.stop();
        fixture.fault(EntryFixture.ENGINE, "{\"slowFactor\":1}");
    }

    // Guards against answers that stand still until their deadline when the way to their target falls silent.
    @Test
    void streamWhoseTargetFallsSilentComesWhole() throws Exception {
        long beginNanos = System.nanoTime();
        List<Answer> answers = answersOfSlowedEngine(1);
        link.fallSilent();
        assertWhole(answers);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos), is(lessThan(MOST_MILLIS)));
    }

    // Guards against answers that stand still until their deadline when what resumes them is lost on a silent way.
    @Test
    void streamWhoseResumptionIsLostComesWhole() throws Exception {
        List<Answer> answers = answersOfSlowedEngine(1);
        link.swallow();
        pauseFor(answers, PAUSE_MILLIS);
        assertWhole(answers);
    }

    // Guards against answers that are cut, or cancelled at their target, though it goes on after a pause.
    @Test
    void streamsOfTheOnlyTargetThatPausesComeWhole() throws Exception {
        List<Answer> answers = answersOfSlowedEngine(STREAMS);
        link.pause();
        pauseFor(answers, PAUSE_MILLIS);
        assertWhole(answers);
    }

    // Guards against answers that are cut because no connection to a host that pauses can be opened for a while.
    @Test
    void streamsOfTheOnlyHostThatPausesComeWhole() throws Exception {
        List<Answer> answers = answersOfSlowedEngine(STREAMS);
        link.pauseHost();
        pauseFor(answers, LONG_PAUSE_MILLIS);
        assertWhole(answers);
    }

    /** Begins streams at an engine that is slow, and returns once each has brought some tokens. */
    private List<Answer> answersOfSlowedEngine(int count) {
        link.start();
        fixture.fault(EntryFixture.ENGINE, "{\"slowFactor\":20}");
        List<Answer> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            answers.add(new Answer());
        }
        EntryFixture.until(
                "some tokens", () -> answers.stream().allMatch(answer -> answer.tokens() >= TOKENS_BEFORE_SILENCE));
        return answers;
    }

    private void pauseFor(List<Answer> answers, long millis) throws InterruptedException {
        Thread.sleep(millis);
        answers.forEach(answer -> assertThat(answer.toString(), answer.ended.isDone(), is(false)));
        link.goOn();
    }

    private static void assertWhole(List<Answer> answers) {
        answers.forEach(answer -> answer.ended.join());
        for (Answer answer : answers) {
            assertThat(answer.toString(), containsString("event: end"));
            assertThat(answer.toString(), answer.tokens(), is(TOKENS));
            assertThat(answer.runs(), containsString("\"posts\":1,\"outcome\":\"completed\""));
        }
    }

    private static InetSocketAddress address(Host host) {
        return new InetSocketAddress(host.getAddress(), host.getTarget().getPort());
    }

    /** Answer that is read as it comes. */
    private static final class Answer {
        private final StringBuffer text = new StringBuffer();
        private final CompletableFuture<Void> ended;

        Answer() {
            ended = fixture.client
                    .sendAsync(EntryFixture.submission(EntryFixture.ONE, REQUEST), HttpResponse.BodyHandlers.ofLines())
                    .thenAcceptAsync(
                            response -> response.body()
                                    .forEach(line -> text.append(line).append('\n')),
                            Answer::start);
        }

        private static void start(Runnable work) {
            Thread thread = new Thread(work, "answer");
            thread.setDaemon(true);
            thread.start();
        }

        int tokens() {
            return text.toString().split("\"index\"", -1).length - 1;
        }

        /** Returns the engine's record of the request. */
        String runs() {
            String id = text.toString().replaceFirst("(?s).*?\"requestId\":\"([^\"]*)\".*", "$1");
            String record = fixture.record(EntryFixture.ENGINE);
            int begin = record.indexOf("{\"id\":\"" + id);
            return record.substring(begin, record.indexOf('}', begin));
        }

        @Override
        public String toString() {
            return text.toString();
        }
    }
}
