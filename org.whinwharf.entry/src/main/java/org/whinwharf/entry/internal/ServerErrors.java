package org.whinwharf.entry.internal;

import io.micronaut.context.annotation.Primary;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;
import java.util.List;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.runtime.admin.AdminServer;

/** Gives errors of the HTTP server itself the form and kind of all others. */
@Singleton
@Primary
@Requires(property = AdminServer.SERVER_PROPERTY, value = CallerServer.CALLERS)
final class ServerErrors implements ErrorResponseProcessor<String> {
    @Override
    public MutableHttpResponse<String> processResponse(ErrorContext context, MutableHttpResponse<?> response) {
        ErrorKind kind = kind(response.code());
        String detail = EntryText.get(kind.wireName());
        return response.status(kind.httpStatus())
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .body(CallerJson.print(Errors.of(kind, detail, 0, "", List.of())));
    }

    private static ErrorKind kind(int status) {
        if (status == HttpStatus.REQUEST_ENTITY_TOO_LARGE.getCode()) {
            return ErrorKind.BODY_TOO_LARGE;
        }
        boolean callersFault = status < HttpStatus.INTERNAL_SERVER_ERROR.getCode();
        return callersFault ? ErrorKind.MALFORMED : ErrorKind.INTERNAL;
    }
}
