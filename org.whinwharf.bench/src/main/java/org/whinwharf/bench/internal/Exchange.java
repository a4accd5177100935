package org.whinwharf.bench.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Flow;
import reactor.adapter.JdkFlowAdapter;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Hooks;
import reactor.core.publisher.Mono;

/**
 * HTTP as a caller speaks it, over one pool of connections.
 *
 * <p>It is the JDK's client and not Micronaut's, whose streaming client gives error answers without their body, so that
 * neither the kind of an error nor whether the request ran could be recorded.
 */
final class Exchange {
    private static final int FIRST_ERROR_STATUS = 400;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    /**
     * Creates a client.
     *
     * <p>An exchange that its caller gives up ends in a late error that nobody waits for. Reactor would log each on
     * standard output, in the midst of the summary; what the caller saw is in the history.
     */
    Exchange() {
        Hooks.onErrorDropped(ignored -> {});
    }

    /** Sends a request and returns the events of its answer; an error status ends in {@link RefusedException}. */
    Flux<ServerEvent> events(HttpRequest.Builder request) {
        HttpRequest sent =
                request.header("Accept", "text/event-stream, application/json").build();
        return Mono.fromFuture(() -> client.sendAsync(sent, BodyHandlers.ofPublisher()))
                .flatMapMany(Exchange::events);
    }

    /** Sends a request and returns the body of its answer; an error status ends in {@link RefusedException}. */
    Mono<String> text(HttpRequest.Builder request) {
        return Mono.fromFuture(() -> client.sendAsync(request.build(), BodyHandlers.ofString()))
                .flatMap(answer -> refused(answer.statusCode())
                        ? Mono.error(new RefusedException(answer.statusCode(), answer.body()))
                        : Mono.just(answer.body()));
    }

    static HttpRequest.Builder get(String url) {
        return HttpRequest.newBuilder(URI.create(url));
    }

    static HttpRequest.Builder post(String url, String json) {
        return HttpRequest.newBuilder(URI.create(url))
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .header("Content-Type", "application/json");
    }

    static HttpRequest.Builder authorized(HttpRequest.Builder request, String credential) {
        return request.header("Authorization", "Bearer " + credential);
    }

    static String print(Message message) {
        try {
            return JsonFormat.printer().omittingInsignificantWhitespace().print(message);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static <B extends Message.Builder> B parse(String json, B builder) {
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(json, builder);
            return builder;
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("not the JSON that was expected: " + json, e);
        }
    }

    private static Flux<ServerEvent> events(HttpResponse<Flow.Publisher<List<ByteBuffer>>> answer) {
        Flux<List<ByteBuffer>> body = JdkFlowAdapter.flowPublisherToFlux(answer.body());
        if (!refused(answer.statusCode())) {
            ServerEventDecoder decoder = new ServerEventDecoder();
            return body.concatMapIterable(decoder::decode);
        }
        return body.concatMapIterable(chunks -> chunks)
                .map(chunk -> StandardCharsets.UTF_8.decode(chunk).toString())
                .reduce("", String::concat)
                .flatMapMany(text -> Flux.error(new RefusedException(answer.statusCode(), text)));
    }

    private static boolean refused(int status) {
        return status >= FIRST_ERROR_STATUS;
    }
}
