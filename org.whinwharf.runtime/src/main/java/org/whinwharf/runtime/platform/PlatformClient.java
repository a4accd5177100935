package org.whinwharf.runtime.platform;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Function;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.wire.schema.HostList;

/** HTTP client of one of the platform's services, such as its configuration service. */
public final class PlatformClient implements Service {
    private static final long MAX_LONG_POLL_MILLIS = 30_000;
    private static final long RESPONSE_MARGIN_MILLIS = 5_000;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private final HttpClient client;

    /**
     * Creates a client. Opens no connection.
     *
     * @param baseUrl base URL of the service, with an IP address as its host
     */
    public PlatformClient(String baseUrl) {
        DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
        configuration.setReadTimeout(Duration.ofMillis(MAX_LONG_POLL_MILLIS + RESPONSE_MARGIN_MILLIS));
        configuration.setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS));
        configuration.setMaxContentLength(MAX_RESPONSE_BYTES);
        configuration.setNumOfThreads(1);
        client = HttpClient.create(url(baseUrl), configuration);
    }

    @Override
    public void start() {
        // The first read opens the connection.
    }

    @Override
    public void stop() {
        client.close();
    }

    /**
     * Creates a reader of the published document.
     *
     * @param environment name of the environment
     * @return reader of the document in its published, encoded form
     */
    public PlatformReader<byte[]> documentReader(String environment) {
        String path = "/v1/documents/" + environment + "?above=%d&waitMillis=%d";
        return (above, waitMillis) -> read(path.formatted(above, waitMillis), PlatformAnswer.Changed::new);
    }

    /**
     * Creates a reader of the host list.
     *
     * @return reader of the list
     */
    public PlatformReader<HostList> hostListReader() {
        String path = "/v1/hosts?after=%d&waitMillis=%d";
        return (above, waitMillis) -> read(path.formatted(above, waitMillis), PlatformClient::parseHostList);
    }

    private <T> PlatformAnswer<T> read(String path, Function<byte[], PlatformAnswer<T>> parser) {
        try {
            HttpResponse<byte[]> response = client.toBlocking().exchange(HttpRequest.GET(path), byte[].class);
            if (response.code() == HttpStatus.NOT_MODIFIED.getCode()) {
                return new PlatformAnswer.Unchanged<>();
            }
            if (!ResponseStatus.isSuccess(response.code())) {
                return new PlatformAnswer.Failed<>("HTTP status " + response.code());
            }
            byte[] body = response.body();
            return body == null ? new PlatformAnswer.Failed<>("empty response body") : parser.apply(body);
        } catch (HttpClientResponseException e) {
            return new PlatformAnswer.Failed<>("HTTP status " + e.code());
        } catch (HttpClientException e) {
            return new PlatformAnswer.Failed<>(String.valueOf(e.getMessage()));
        }
    }

    private static PlatformAnswer<HostList> parseHostList(byte[] json) {
        HostList.Builder list = HostList.newBuilder();
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(new String(json, StandardCharsets.UTF_8), list);
            return new PlatformAnswer.Changed<>(list.build());
        } catch (InvalidProtocolBufferException e) {
            return new PlatformAnswer.Failed<>("invalid host list: " + e.getMessage());
        }
    }

    private static URL url(String baseUrl) {
        try {
            return URI.create(baseUrl).toURL();
        } catch (MalformedURLException e) {
            throw new IllegalArgumentException(baseUrl, e);
        }
    }
}
