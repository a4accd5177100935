package org.whinwharf.entry.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.micronaut.context.ApplicationContext;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.HttpClientRegistry;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.client.sse.SseClient;
import io.micronaut.http.sse.Event;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.whinwharf.home.HomeAction;
import org.whinwharf.home.HomeEvent;
import org.whinwharf.home.RequestLocation;
import org.whinwharf.home.Submission;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.runtime.duty.Duty;
import org.whinwharf.runtime.trace.TraceParent;
import org.whinwharf.time.Ticker;
import org.whinwharf.wire.schema.StreamOrder;
import org.whinwharf.wire.schema.StreamToken;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Thread that sends requests to targets, and the connections on which they answer. */
final class Targets implements Service {
    private static final int RING_SIZE = 16_384;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration READ_TIMEOUT = Duration.ofHours(2);
    /** Many times the pause of a busy engine between two tokens. */
    private static final Duration STREAM_SILENCE = Duration.ofSeconds(5);

    private static final int MAX_CONTENT_BYTES = 16 << 20;
    private static final int MAX_CONNECTIONS_PER_TARGET = 4_096;
    private static final Duration CANCEL_RETRY = Duration.ofMillis(250);
    private static final int CANCEL_RETRIES = 3;
    private final Ticker ticker;
    private final HomeDuty home;
    private final Duty<Runnable> duty;
    private final Map<Long, Disposable> connections = new ConcurrentHashMap<>();
    private final SendGuard guard;
    private ApplicationContext context;
    private HttpClient client;
    private SseClient streams;

    Targets(Ticker ticker, HomeDuty home) {
        this.ticker = ticker;
        this.home = home;
        guard = new SendGuard(ticker, home);
        duty = Duty.<Runnable>builder()
                .name("targets")
                .handler(Runnable::run)
                .ringSize(RING_SIZE)
                .call();
    }

    @Override
    public void start() {
        context = ApplicationContext.builder().banner(false).start();
        DefaultHttpClientConfiguration configuration = context.getBean(DefaultHttpClientConfiguration.class);
        configuration.setConnectTimeout(CONNECT_TIMEOUT);
        configuration.setReadTimeout(READ_TIMEOUT);
        configuration.setReadIdleTimeout(READ_TIMEOUT);
        configuration.setMaxContentLength(MAX_CONTENT_BYTES);
        // The owners bound what is in flight; this bound only has to lie above theirs.
        configuration.getConnectionPoolConfiguration().setMaxConcurrentHttp1Connections(MAX_CONNECTIONS_PER_TARGET);
        NettyClientCustomizer.Registry customizers = context.getBean(NettyClientCustomizer.Registry.class);
        customizers.register(guard);
        customizers.register(new AnswerGuard());
        customizers.register(new StatusLineGuard());
        client = context.getBean(HttpClientRegistry.class).getDefaultClient();
        streams = (SseClient) client;
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
        connections.values().forEach(Disposable::dispose);
        context.close();
    }

    /** Sends a request if its gate still lets it. */
    void dispatch(HomeAction.Dispatch action, String traceParent) {
        if (!duty.offer(() -> send(action, traceParent))) {
            action.gate().close();
            home.put(new HomeEvent.NotSent(action.sequence()));
        }
    }

    /** Takes up a stream again. */
    void resume(HomeAction.ResumeStream action) {
        long sequence = action.sequence();
        release(sequence);
        HttpRequest<?> request = resumption(action.location(), action.fromIndex());
        Flux<Event<String>> resumed =
                SilenceLimit.applyToResumed(Flux.from(streams.eventStream(request, String.class)), STREAM_SILENCE);
        Flux<Event<String>> events =
                Mono.delay(Duration.ofMillis(action.delayMillis())).thenMany(resumed);
        follow(sequence, events, failure -> home.put(resumeFailure(sequence, failure)));
    }

    /** Streams what a target has of a stream from an index on, for a caller whose home is gone. */
    Flux<StreamToken> resumeDirectly(RequestLocation place, int fromIndex) {
        HttpRequest<?> request = resumption(place, fromIndex);
        return Flux.from(streams.eventStream(request, String.class)).map(event -> parse(event.getData()));
    }

    /** Ends the work at a target. */
    void cancel(HomeAction.CancelAtTarget action) {
        release(action.sequence());
        if (!action.isEngine()) {
            return;
        }
        String uri = base(action.location()) + "/v1/streams/" + action.location().stream();
        // The order may overtake the request on its way; the engine would then go on for nobody. So an engine that
        // does not know the stream is asked again.
        Mono.defer(() -> Mono.from(client.exchange(HttpRequest.DELETE(uri), byte[].class)))
                .retryWhen(reactor.util.retry.Retry.fixedDelay(CANCEL_RETRIES, CANCEL_RETRY))
                .subscribe(done -> {}, failure -> {});
    }

    /** Lets go of the connection of a request. */
    void release(long sequence) {
        Disposable connection = connections.remove(sequence);
        if (connection != null) {
            connection.dispose();
        }
    }

    int connectionCount() {
        return connections.size();
    }

    private void send(HomeAction.Dispatch action, String traceParent) {
        long sequence = action.sequence();
        String requestId = action.location().stream();
        guard.expect(requestId, sequence, action.gate());
        if (action.submission().isEngine()) {
            HttpRequest<?> request = order(action.location(), action.submission(), traceParent);
            Flux<Event<String>> events =
                    SilenceLimit.apply(Flux.from(streams.eventStream(request, String.class)), STREAM_SILENCE);
            follow(sequence, events, failure -> home.put(sendFailure(action, failure)));
        } else {
            call(action, plainCall(action.location(), action.submission(), traceParent));
        }
    }

    private void follow(long sequence, Flux<Event<String>> events, java.util.function.Consumer<Throwable> whenFailed) {
        Disposable.Swap connection = Disposables.swap();
        connections.put(sequence, connection);
        connection.replace(events.subscribe(
                event -> home.put(new HomeEvent.TokenReceived(sequence, parse(event.getData()))),
                whenFailed,
                () -> home.put(new HomeEvent.StreamBroken(sequence, EntryText.get("the-stream-ended")))));
    }

    private void call(HomeAction.Dispatch action, HttpRequest<?> request) {
        long sequence = action.sequence();
        Disposable.Swap connection = Disposables.swap();
        connections.put(sequence, connection);
        connection.replace(Mono.from(client.exchange(request, byte[].class))
                .subscribe(
                        response -> home.put(answered(sequence, response)),
                        failure -> home.put(callFailure(action, failure))));
    }

    private static HomeEvent answered(long sequence, HttpResponse<byte[]> response) {
        String contentType = response.getContentType().map(MediaType::toString).orElse(MediaType.TEXT_PLAIN);
        ByteString body = response.getBody().map(ByteString::copyFrom).orElse(ByteString.EMPTY);
        return new HomeEvent.CallAnswered(sequence, response.code(), contentType, body);
    }

    private HomeEvent callFailure(HomeAction.Dispatch action, Throwable failure) {
        if (failure instanceof HttpClientResponseException refused && refused.code() != unavailable()) {
            String contentType = refused.getResponse()
                    .getContentType()
                    .map(MediaType::toString)
                    .orElse(MediaType.TEXT_PLAIN);
            ByteString body = refused.getResponse()
                    .getBody(byte[].class)
                    .map(ByteString::copyFrom)
                    .orElse(ByteString.EMPTY);
            return new HomeEvent.CallAnswered(action.sequence(), refused.code(), contentType, body);
        }
        return sendFailure(action, failure);
    }

    private HomeEvent sendFailure(HomeAction.Dispatch action, Throwable failure) {
        long sequence = action.sequence();
        guard.forget(action.location().stream());
        // A gate that can still be closed was not passed: not one byte of the request left, whatever went wrong.
        if (action.gate().close()) {
            return isConnectFailure(failure) ? new HomeEvent.ConnectFailed(sequence) : new HomeEvent.NotSent(sequence);
        }
        if (failure instanceof HttpClientResponseException refused) {
            int status = refused.code();
            if (status == unavailable()) {
                return new HomeEvent.TargetRefused(sequence);
            }
            boolean known = status == HttpStatus.CONFLICT.getCode();
            return known
                    ? new HomeEvent.StreamBroken(sequence, EntryText.get("the-target-has-the-stream-already"))
                    : new HomeEvent.TargetFailed(sequence, status);
        }
        return interrupted(sequence, failure);
    }

    private static HomeEvent interrupted(long sequence, Throwable failure) {
        return SilenceLimit.isSilence(failure)
                ? new HomeEvent.StreamSilent(sequence, EntryText.get("the-target-is-silent"))
                : new HomeEvent.StreamBroken(sequence, String.valueOf(failure.getMessage()));
    }

    private static HomeEvent resumeFailure(long sequence, Throwable failure) {
        boolean unknown = failure instanceof HttpClientResponseException refused
                && refused.code() == HttpStatus.NOT_FOUND.getCode();
        return unknown ? new HomeEvent.StreamUnknown(sequence) : interrupted(sequence, failure);
    }

    private static boolean isConnectFailure(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException) {
                return true;
            }
        }
        return false;
    }

    private static HttpRequest<?> order(RequestLocation place, Submission submission, String traceParent) {
        StreamOrder order = StreamOrder.newBuilder()
                .setId(place.stream())
                .setModel(submission.model())
                .setPrompt(submission.text())
                .setMaxTokens(submission.maxTokens())
                .build();
        MutableHttpRequest<String> request = HttpRequest.POST(base(place) + "/v1/streams", CallerJson.print(order))
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .accept(MediaType.TEXT_EVENT_STREAM_TYPE)
                .header(SendGuard.REQUEST_ID, place.stream());
        return traced(request, traceParent);
    }

    private static HttpRequest<?> plainCall(RequestLocation place, Submission submission, String traceParent) {
        String uri = base(place) + "/v1/calls/" + submission.callName();
        MutableHttpRequest<String> request = HttpRequest.POST(uri, submission.text())
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .accept(MediaType.ALL_TYPE)
                .header(SendGuard.REQUEST_ID, place.stream());
        return traced(request, traceParent);
    }

    private static HttpRequest<?> resumption(RequestLocation place, int fromIndex) {
        String uri = base(place) + "/v1/streams/" + place.stream() + "?from=" + fromIndex;
        return HttpRequest.GET(uri).accept(MediaType.TEXT_EVENT_STREAM_TYPE);
    }

    private static HttpRequest<?> traced(MutableHttpRequest<?> request, String traceParent) {
        return traceParent.isEmpty() ? request : request.header(TraceParent.HEADER, traceParent);
    }

    private static String base(RequestLocation place) {
        return "http://" + place.address() + ":" + place.port();
    }

    private static int unavailable() {
        return HttpStatus.SERVICE_UNAVAILABLE.getCode();
    }

    private static StreamToken parse(String json) {
        StreamToken.Builder token = StreamToken.newBuilder();
        try {
            CallerJson.merge(json, token);
        } catch (InvalidProtocolBufferException malformed) {
            throw new IllegalStateException("malformed token", malformed);
        }
        return token.build();
    }
}
