package org.whinwharf.pgm.internal;

import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.HttpClientConfiguration;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Reads from hosts and the platform, many at once. */
public final class Http implements AutoCloseable {
    /** Longest wait for one answer, in milliseconds. */
    public static final long TIMEOUT_MILLIS = 3_000;

    private static final long SHUTDOWN_QUIET_MILLIS = 1;
    private static final int CONCURRENT_READS = 32;

    private final HttpClient client;

    /** Opens a client for answers that come at once. */
    public Http() {
        this(Duration.ofMillis(TIMEOUT_MILLIS));
    }

    /**
     * Opens a client.
     *
     * @param readTimeout longest wait between two parts of an answer
     */
    public Http(Duration readTimeout) {
        client = HttpClient.create(null, configuration(readTimeout));
    }

    /**
     * Makes the configuration of a client.
     *
     * @param readTimeout longest wait between two parts of an answer
     * @return configuration that reports error statuses as answers
     */
    public static HttpClientConfiguration configuration(Duration readTimeout) {
        DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setConnectTimeout(Duration.ofMillis(TIMEOUT_MILLIS));
        configuration.setReadTimeout(readTimeout);
        configuration.setExceptionOnErrorStatus(false);
        configuration.setShutdownQuietPeriod(Duration.ofMillis(SHUTDOWN_QUIET_MILLIS));
        return configuration;
    }

    /**
     * Reads one URL.
     *
     * @param url absolute URL
     * @return answer
     */
    public HttpAnswer get(String url) {
        return exchange(HttpRequest.GET(url)).block();
    }

    /**
     * Sends one request.
     *
     * @param request request with an absolute URL
     * @return answer
     */
    public HttpAnswer send(HttpRequest<?> request) {
        return exchange(request).block();
    }

    /**
     * Reads several URLs, some at a time.
     *
     * @param urls absolute URLs
     * @return an answer for each, in the same order
     */
    public List<HttpAnswer> getAll(List<String> urls) {
        return Flux.fromIterable(urls)
                .flatMapSequential(url -> exchange(HttpRequest.GET(url)), CONCURRENT_READS)
                .collectList()
                .block();
    }

    @Override
    public void close() {
        client.close();
    }

    /**
     * Names the cause of a failure.
     *
     * @param failure what was thrown
     * @return short text
     */
    public static String reason(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private Mono<HttpAnswer> exchange(HttpRequest<?> request) {
        Argument<byte[]> bytes = Argument.of(byte[].class);
        return Mono.from(client.exchange(request, bytes, bytes))
                .map(Http::answered)
                .onErrorResume(failure -> Mono.just(new HttpAnswer.Unreachable(reason(failure))));
    }

    private static HttpAnswer answered(HttpResponse<byte[]> response) {
        return new HttpAnswer.Answered(response.code(), response.getBody().orElse(new byte[0]));
    }
}
