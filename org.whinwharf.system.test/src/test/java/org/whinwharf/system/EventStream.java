package org.whinwharf.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.whinwharf.standin.StandInText;

/** Server-sent events of one answer, read by a thread of their own and kept as they come. */
final class EventStream {
    private static final String DATA = "data:";
    private static final String EVENT = "event:";

    private final String prompt;
    private final int tokens;
    private final List<Integer> indices = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();
    private JsonNode head = MissingNode.getInstance();
    private JsonNode error = MissingNode.getInstance();
    private boolean whole;
    private boolean closed;
    private String broken = "";
    private String event = "";

    private EventStream(HttpRequest request, String prompt, int tokens) {
        this.prompt = prompt;
        this.tokens = tokens;
        Thread reader = new Thread(() -> read(request), "event-stream");
        reader.setDaemon(true);
        reader.start();
    }

    static EventStream post(String url, String credential, String body) {
        JsonNode request = Caller.json(body);
        return new EventStream(
                request(url, credential)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                request.path("prompt").asText(),
                request.path("maxTokens").asInt());
    }

    static EventStream get(String url, String credential) {
        return new EventStream(request(url, credential).GET().build(), "", 0);
    }

    synchronized JsonNode head() {
        return head;
    }

    synchronized JsonNode error() {
        return error;
    }

    synchronized String text() {
        return text.toString();
    }

    synchronized List<Integer> indices() {
        return List.copyOf(indices);
    }

    synchronized boolean whole() {
        return whole;
    }

    synchronized boolean closed() {
        return closed;
    }

    /** Tells whether the answer to exactly this request came, complete and in order. */
    synchronized boolean isItsAnswer() {
        String expected = StandInText.answer(head.path("requestId").asText(), prompt, tokens);
        return whole && expected.contentEquals(text);
    }

    EventStream awaitTokens(int count) {
        Await.until("token " + count, () -> indices().size() >= count || closed(), this::toString);
        return this;
    }

    EventStream awaitClosed() {
        Await.until("the end of the stream", this::closed, this::toString);
        return this;
    }

    @Override
    public synchronized String toString() {
        return "head " + head + ", " + indices.size() + " tokens, error " + error + ", whole " + whole + ", closed "
                + closed + ", broken by " + broken;
    }

    private static HttpRequest.Builder request(String url, String credential) {
        return HttpRequest.newBuilder(URI.create(url))
                .header("Authorization", "Bearer " + credential)
                .header("Content-Type", "application/json");
    }

    private void read(HttpRequest request) {
        try {
            HttpResponse<Stream<String>> response = Http.CLIENT.send(request, HttpResponse.BodyHandlers.ofLines());
            boolean good = response.statusCode() == 200;
            response.body().forEach(good ? this::line : this::refusal);
        } catch (IOException | UncheckedIOException e) {
            broken(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
        }
    }

    /** Forgets a half-read event; what came before stays. */
    private synchronized void broken(Exception cause) {
        event = "";
        for (Throwable next = cause; next != null; next = next.getCause()) {
            broken += next + "; ";
        }
    }

    private synchronized void close() {
        closed = true;
    }

    private synchronized void refusal(String line) {
        error = Caller.json(line);
    }

    private synchronized void line(String line) {
        if (line.startsWith(EVENT)) {
            event = line.substring(EVENT.length()).trim();
        } else if (line.startsWith(DATA)) {
            take(Caller.json(line.substring(DATA.length())));
        }
    }

    private void take(JsonNode data) {
        switch (event) {
            case "head" -> head = data;
            case "token" -> {
                indices.add(data.path("index").asInt());
                text.append(data.path("text").asText());
            }
            case "end" -> whole = true;
            case "error" -> error = data;
            default -> throw new AssertionError("event " + event);
        }
    }
}
