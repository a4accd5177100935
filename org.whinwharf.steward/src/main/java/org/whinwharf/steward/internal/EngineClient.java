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
import org.whinwharf.runtime.platform.ResponseStatus;
import org.whinwharf.schema.SchemaWriter;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.Host;
import reactor.core.publisher.Mono;

/** HTTP client of the engines. Callbacks run on network threads. */
public final class EngineClient implements Service {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final String SO_LINGER = "SO_LINGER";

    private final HttpClient client;
    private final Duration orderTimeout;

    /**
     * Creates a client. Opens no connections.
     *
     * @param orderTimeoutMillis longest time that an order takes, in milliseconds
     */
    public EngineClient(long orderTimeoutMillis) {
        DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setConnectTimeout(CONNECT_TIMEOUT);
        configuration.setReadTimeout(Duration.ofMillis(Math.max(orderTimeoutMillis, READ_TIMEOUT.toMillis())));
        configuration.setNumOfThreads(1);
        // With a linger time of 0, closing a connection discards its unsent data. Otherwise the operating system would
        // still send an order that has timed out, and an engine that ignores fencing numbers could execute it much
        // later.
        configuration.setChannelOptions(Map.of(SO_LINGER, 0));
        client = HttpClient.create(null, configuration);
        orderTimeout = Duration.ofMillis(orderTimeoutMillis);
    }

    @Override
    public void start() {
        // The client opens connections on demand.
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
                .map(EngineClient::toResult)
                .onErrorResume(failure -> Mono.just(toFailedResult(failure)))
                .subscribe(listener);
    }

    private static OrderResult toResult(HttpResponse<String> response) {
        return ResponseStatus.isSuccess(response.code())
                ? new OrderResult(OrderOutcome.ACCEPTED, response.code(), "")
                : new OrderResult(OrderOutcome.UNKNOWN, 0, noResponse(response.code()));
    }

    private static String noResponse(int status) {
        return "not a response: status " + status;
    }

    private static OrderResult toFailedResult(Throwable failure) {
        if (failure instanceof HttpClientResponseException response && ResponseStatus.isFinal(response.code())) {
            boolean fenced = response.code() == HttpStatus.CONFLICT.getCode();
            OrderOutcome outcome = fenced ? OrderOutcome.FENCED : OrderOutcome.REFUSED;
            return new OrderResult(outcome, response.code(), reason(failure));
        }
        return new OrderResult(OrderOutcome.UNKNOWN, 0, reason(failure));
    }

    private static EngineState parse(HttpResponse<String> response) {
        if (!ResponseStatus.isSuccess(response.code())) {
            throw new IllegalArgumentException(noResponse(response.code()));
        }
        EngineState.Builder state = EngineState.newBuilder();
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(response.getBody().orElse(""), state);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("cannot parse engine state: " + e.getMessage(), e);
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
