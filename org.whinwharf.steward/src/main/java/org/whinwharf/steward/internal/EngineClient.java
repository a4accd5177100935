package org.whinwharf.steward.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.time.Duration;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.order.OrderOutcome;
import org.whinwharf.schema.SchemaWriter;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.Host;
import reactor.core.publisher.Mono;

/** HTTP client of engines. Answers come on network threads. */
public final class EngineClient implements Service {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final String SO_LINGER = "SO_LINGER";

    private final HttpClient client;
    private final Duration orderTimeout;

    /**
     * Makes a client. Opens no connection.
     *
     * @param orderMillis longest that an order may take
     */
    public EngineClient(long orderMillis) {
        DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setConnectTimeout(CONNECT_TIMEOUT);
        configuration.setReadTimeout(Duration.ofMillis(Math.max(orderMillis, READ_TIMEOUT.toMillis())));
        configuration.setNumOfThreads(1);
        // With a linger of 0 a closed connection drops what was not sent yet. Otherwise the system would go on sending
        // an
        // order that was given up, and an engine that ignores fencing numbers could carry it out much later.
        configuration.setChannelOptions(Map.of(SO_LINGER, 0));
        client = HttpClient.create(null, configuration);
        orderTimeout = Duration.ofMillis(orderMillis);
    }

    @Override
    public void start() {
        // Connections are opened by the first call.
    }

    @Override
    public void stop() {
        client.close();
    }

    void readState(Host target, BiConsumer<EngineState, String> listener) {
        HttpRequest<?> request = HttpRequest.GET(url(target) + "/v1/state");
        Mono.from(client.exchange(request, String.class))
                .timeout(READ_TIMEOUT)
                .map(EngineClient::parse)
                .subscribe(state -> listener.accept(state, ""), failure -> listener.accept(null, reason(failure)));
    }

    void sendOrder(Host target, EngineOrder order, Consumer<OrderResult> listener) {
        HttpRequest<?> request = HttpRequest.POST(url(target) + "/v1/orders", SchemaWriter.compact(order))
                .contentType(MediaType.APPLICATION_JSON_TYPE);
        Mono.from(client.exchange(request, String.class))
                .timeout(orderTimeout)
                .map(response -> new OrderResult(OrderOutcome.ACCEPTED, response.code(), ""))
                .onErrorResume(failure -> Mono.just(toFailedResult(failure)))
                .subscribe(listener);
    }

    private static OrderResult toFailedResult(Throwable failure) {
        if (failure instanceof HttpClientResponseException answered) {
            boolean fenced = answered.code() == HttpStatus.CONFLICT.getCode();
            OrderOutcome outcome = fenced ? OrderOutcome.FENCED : OrderOutcome.REFUSED;
            return new OrderResult(outcome, answered.code(), reason(failure));
        }
        return new OrderResult(OrderOutcome.UNKNOWN, 0, reason(failure));
    }

    private static EngineState parse(HttpResponse<String> response) {
        EngineState.Builder state = EngineState.newBuilder();
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(response.getBody().orElse(""), state);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("not a state: " + e.getMessage(), e);
        }
        return state.build();
    }

    private static String reason(Throwable failure) {
        return failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
    }

    private static String url(Host target) {
        return "http://" + target.getAddress() + ":" + target.getTarget().getPort();
    }
}
