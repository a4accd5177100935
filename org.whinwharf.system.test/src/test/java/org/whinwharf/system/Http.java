package org.whinwharf.system;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Plain HTTP of the tests towards the fleet and its stand-ins. */
final class Http {
    /** Status that stands for a connection that could not be made or broke. */
    static final int BROKEN = -1;

    /** Far below the time after which hosts close idle connections, so that none is used just as it is closed. */
    private static final String KEEP_ALIVE_SECONDS = "5";

    static {
        System.setProperty("jdk.httpclient.keepalive.timeout", KEEP_ALIVE_SECONDS);
    }

    static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    private Http() {}

    record Reply(int status, String body) {}

    static Reply get(String url, String credential) {
        return send(request(url, credential).GET());
    }

    static Reply get(String url) {
        return get(url, "");
    }

    static Reply post(String url, String credential, String body) {
        return send(request(url, credential)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    static Reply put(String url, String body) {
        return send(request(url, "").PUT(HttpRequest.BodyPublishers.ofString(body)));
    }

    private static HttpRequest.Builder request(String url, String credential) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(60));
        if (!credential.isEmpty()) {
            builder.header("Authorization", "Bearer " + credential);
        }
        return builder;
    }

    private static Reply send(HttpRequest.Builder builder) {
        try {
            HttpResponse<String> response = CLIENT.send(builder.build(), HttpResponse.BodyHandlers.ofString());
            return new Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Reply(BROKEN, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
