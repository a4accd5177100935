package org.whinwharf.pgm.internal.call;

import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.StreamingHttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.io.ByteArrayOutputStream;
import java.net.MalformedURLException;
import java.net.URL;
import java.time.Duration;
import java.util.function.Consumer;
import org.whinwharf.pgm.internal.Http;
import org.whinwharf.pgm.internal.HttpAnswer;
import org.whinwharf.pgm.internal.call.EventParser.StreamEvent;
import org.whinwharf.schema.SchemaWriter;
import org.whinwharf.wire.caller.SubmitRequest;
import reactor.core.publisher.Flux;

/** Speaks the callers' interface to any entry host. */
public final class CallerClient implements AutoCloseable {
    private static final long LONGEST_DEADLINE_MILLIS = 3_600_000;
    private static final long GRACE_MILLIS = 5_000;
    private static final Argument<byte[]> ERROR_BODY = Argument.of(byte[].class);
    private static final byte[] NO_BYTES = {};

    private final Http http = new Http();
    private final String credential;
    private final Duration patience;

    /**
     * Makes a client.
     *
     * @param credential credential of an organisation
     * @param deadlineMillis longest wait for an answer; 0 for the longest that any service allows
     */
    public CallerClient(String credential, long deadlineMillis) {
        this.credential = credential;
        long waitMillis = deadlineMillis > 0 ? deadlineMillis : LONGEST_DEADLINE_MILLIS;
        this.patience = Duration.ofMillis(waitMillis + GRACE_MILLIS);
    }

    /**
     * Reads a URL.
     *
     * @param url absolute URL
     * @return answer
     */
    HttpAnswer get(String url) {
        return http.send(HttpRequest.GET(url).bearerAuth(credential));
    }

    /**
     * Sends a request and takes its answer whole.
     *
     * @param entry base URL of an entry host
     * @param request the request
     * @return answer
     */
    HttpAnswer submit(String entry, SubmitRequest request) {
        try (Http patient = new Http(patience)) {
            return patient.send(post(entry, request));
        }
    }

    /**
     * Sends a request and takes its answer as a stream.
     *
     * @param entry base URL of an entry host
     * @param request the request
     * @param events takes each event
     * @return how the stream ended
     */
    HttpAnswer submitStream(String entry, SubmitRequest request, Consumer<StreamEvent> events) {
        return stream(entry, post(entry, request), events);
    }

    /**
     * Takes up a stream again.
     *
     * @param entry base URL of an entry host
     * @param path path with the query that names the stream and the first index wanted
     * @param events takes each event
     * @return how the stream ended
     */
    HttpAnswer resume(String entry, String path, Consumer<StreamEvent> events) {
        return stream(entry, HttpRequest.GET(entry + path).bearerAuth(credential), events);
    }

    @Override
    public void close() {
        http.close();
    }

    private MutableHttpRequest<String> post(String entry, SubmitRequest request) {
        return HttpRequest.POST(entry + "/v1/requests", SchemaWriter.compact(request))
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .bearerAuth(credential);
    }

    private HttpAnswer stream(String entry, MutableHttpRequest<?> request, Consumer<StreamEvent> events) {
        request.accept(MediaType.TEXT_EVENT_STREAM_TYPE, MediaType.APPLICATION_JSON_TYPE);
        Reception reception = new Reception(events);
        try (StreamingHttpClient client = open(entry)) {
            Flux.from(client.exchangeStream(request, ERROR_BODY))
                    .doOnNext(reception::take)
                    .blockLast();
            return reception.answer();
        } catch (HttpClientResponseException e) {
            byte[] body = e.getResponse().getBody(ERROR_BODY).orElse(NO_BYTES);
            return new HttpAnswer.Answered(e.code(), body);
        } catch (RuntimeException e) {
            return new HttpAnswer.Unreachable(Http.reason(e));
        }
    }

    private StreamingHttpClient open(String entry) {
        try {
            return StreamingHttpClient.create(new URL(entry), Http.configuration(patience));
        } catch (MalformedURLException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Takes the parts of one answer: events when it was served, or else the body of the error. */
    private static final class Reception {
        private final EventParser parser;
        private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
        private int status;

        Reception(Consumer<StreamEvent> events) {
            parser = new EventParser(events);
        }

        void take(HttpResponse<ByteBuffer<?>> part) {
            status = part.code();
            byte[] bytes = part.getBody().map(ByteBuffer::toByteArray).orElse(NO_BYTES);
            if (answer().isOk()) {
                parser.feed(bytes);
            } else {
                errorBody.writeBytes(bytes);
            }
        }

        HttpAnswer.Answered answer() {
            return new HttpAnswer.Answered(status, errorBody.toByteArray());
        }
    }
}
