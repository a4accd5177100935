package org.whinwharf.standin.internal;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import jakarta.inject.Singleton;
import java.util.Map;

/** Answers for routes that ended by {@link StandInException}. */
@Singleton
@Produces(MediaType.APPLICATION_JSON)
final class StandInExceptionHandler implements ExceptionHandler<StandInException, HttpResponse<String>> {
    @Override
    @SuppressWarnings("rawtypes")
    public HttpResponse<String> handle(HttpRequest request, StandInException exception) {
        String body = Json.write(Map.of("error", exception.getMessage()));
        return HttpResponse.<String>status(exception.status())
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(body);
    }
}
