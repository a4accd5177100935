package org.whinwharf.pgm;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.pgm.FakeServer.Reply;

class CallTest {
    private static final String HEAD = """
            event: head
            data: {"requestId": "entry-1.9f3c.2a", "target": "lampa-1", "receipt": "R+1"}

            """;

    @TempDir
    private Path folder;

    private final Deque<Reply> replies = new ArrayDeque<>();
    private FakeServer entry;
    private String settings;

    @BeforeEach
    void start() throws IOException {
        entry = new FakeServer(this::reply);
        Path credential = folder.resolve("credential");
        Files.writeString(credential, "secret\n");
        Path file = folder.resolve("operator.json");
        Files.writeString(
                file,
                "{\"entries\": [\"http://127.0.0.1:1\", \"" + entry.url()
                        + "\"], \"configurationUrl\": \"http://127.0.0.1:1\", \"hostListUrl\": \"http://127.0.0.1:1\""
                        + ", \"environment\": \"trial\", \"credentialFile\": \"" + credential + "\"}");
        settings = file.toString();
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    @Test
    void aStreamIsShownAsItComesAndItsProgressBesideIt() {
        replies.add(Reply.events(HEAD + token(0, "kind ") + token(1, "regards") + end(2)));

        Run run = call("--service", "lampa-llm", "--model", "lampa-sort", "--prompt", "hello");

        assertThat(run.exit(), is(OperatorExit.OK));
        assertThat(run.out(), startsWith("kind regards\n"));
        assertThat(run.err(), containsString("request entry-1.9f3c.2a runs at lampa-1"));
        assertThat(entry.asked(), hasItem(containsString("\"ticket\":\"T\",\"number\":\"1\"")));
    }

    // The connection to the entry host breaks in the middle of a long summary. A caller that sent the request anew
    // would pay for it twice; one that gave up would lose the answer. The stream goes on from the first missing token.
    @Test
    void aBrokenStreamIsResumedFromTheFirstMissingTokenAndNotSentAgain() {
        replies.add(Reply.events(HEAD + token(0, "a") + token(1, "b")));
        replies.add(Reply.status(502, "{\"error\": \"home-unreachable\", \"ran\": \"unknown\"}"));
        replies.add(Reply.events(token(1, "b") + token(2, "c") + end(3)));

        Run run = call("--service", "lampa-llm", "--model", "lampa-sort", "--prompt", "hello");

        assertThat(run.exit(), is(OperatorExit.OK));
        assertThat(run.out(), startsWith("abc\n"));
        List<String> asked = entry.asked();
        assertThat(asked.stream().filter(each -> each.startsWith("POST")).count(), is(1L));
        assertThat(asked.get(2), equalTo("GET /v1/requests/entry-1.9f3c.2a/answer?from=2"));
        assertThat(asked.get(3), equalTo("GET /v1/streams?receipt=R%2B1&from=2"));
    }

    @Test
    void aRefusalTellsWhyWhetherItRanAndWhenToComeBack() {
        replies.add(Reply.status(
                503,
                "{\"error\": \"shed\", \"detail\": \"tier school\", \"ran\": \"not-run\", \"comeBackMillis\": 900}"));

        Run run = call("--service", "lampa-llm", "--model", "lampa-sort", "--prompt", "hello");

        assertThat(run.exit(), is(OperatorExit.REFUSED));
        assertThat(run.out(), containsString("failed: shed (not-run) tier school\ncome back in 900 ms"));
    }

    @Test
    void aPlainCallTakesTheWholeAnswer() {
        replies.add(Reply.json("{\"requestId\": \"entry-1.9f3c.2b\", \"target\": \"zber-1\", \"text\": \"booked\"}"));

        Run run = call("--service", "zber-app", "--call", "book-pickup", "--body", "{}");

        assertThat(run.exit(), is(OperatorExit.OK));
        assertThat(run.out(), startsWith("booked\n"));
    }

    // A booking is answered by an unreadable gateway page or not at all. Nobody may claim that it did not run.
    @Test
    void anOutcomeThatNobodyKnowsHasItsOwnExitCode() {
        replies.add(Reply.status(502, "{\"error\": \"home-restarted\", \"ran\": \"unknown\"}"));

        Run run = call("--service", "zber-app", "--call", "book-pickup", "--body", "{}");

        assertThat(run.exit(), is(OperatorExit.UNKNOWN_OUTCOME));
    }

    private Run call(String... arguments) {
        List<String> all = new java.util.ArrayList<>(List.of("call", "--settings", settings));
        all.addAll(List.of(arguments));
        return Run.of(all.toArray(String[]::new));
    }

    private Reply reply(String request) {
        if (request.equals("GET /v1/addresses")) {
            return Reply.json("{\"addresses\": [{\"host\": \"entry-2\", \"address\": \"127.0.0.1\", \"port\": "
                    + entry.port() + "}, {\"host\": \"entry-1\", \"address\": \"127.0.0.1\", \"port\": " + entry.port()
                    + "}], \"goodMillis\": \"5000\", \"ticket\": \"T\", \"home\": \"entry-1\"}");
        }
        return replies.remove();
    }

    private static String token(int index, String text) {
        return "event: token\ndata: {\"index\": " + index + ", \"text\": \"" + text + "\"}\n\n";
    }

    private static String end(int tokens) {
        return "event: end\ndata: {\"tokens\": " + tokens + "}\n\n";
    }
}
