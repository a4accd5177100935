package org.whinwharf.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;

/** Caller with one ticket, which asks any host and remembers what it was told. */
final class Caller {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String credential;
    private final String ticket;
    private final String home;

    private Caller(String credential, String ticket, String home) {
        this.credential = credential;
        this.ticket = ticket;
        this.home = home;
    }

    /** Gets a ticket whose home is the host of this entry. */
    static Caller of(String entry, String credential) {
        JsonNode addresses = json(Http.get(entry + "/v1/addresses", credential).body());
        return new Caller(
                credential,
                addresses.path("ticket").asText(),
                addresses.path("home").asText());
    }

    String home() {
        return home;
    }

    String ticket() {
        return ticket;
    }

    String booking(long number, String what, long deadlineMillis) {
        return body(number, deadlineMillis)
                .put("service", "zber-app")
                .put("call", "book-pickup")
                .put("body", what)
                .toString();
    }

    String stream(long number, String prompt, int tokens, long deadlineMillis) {
        return body(number, deadlineMillis)
                .put("service", "lampa-llm")
                .put("model", "odpad")
                .put("prompt", prompt)
                .put("maxTokens", tokens)
                .put("stream", true)
                .toString();
    }

    Http.Reply submit(String entry, String body) {
        return Http.post(entry + "/v1/requests", credential, body);
    }

    CompletableFuture<Http.Reply> submitAside(String entry, String body) {
        return CompletableFuture.supplyAsync(() -> submit(entry, body));
    }

    EventStream open(String entry, String body) {
        return EventStream.post(entry + "/v1/requests", credential, body);
    }

    EventStream resume(String entry, String receipt, int from) {
        return EventStream.get(entry + "/v1/streams?receipt=" + receipt + "&from=" + from, credential);
    }

    Http.Reply ask(String entry, long number) {
        return Http.get(entry + "/v1/requests?ticket=" + ticket + "&number=" + number, credential);
    }

    static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(text, e);
        }
    }

    private ObjectNode body(long number, long deadlineMillis) {
        return MAPPER.createObjectNode()
                .put("ticket", ticket)
                .put("number", number)
                .put("deadlineMillis", deadlineMillis);
    }
}
