package org.whinwharf.entry.internal;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Error;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import io.micronaut.http.exceptions.ContentLengthExceededException;
import org.reactivestreams.Publisher;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.runtime.admin.AdminServer;

/** Serves the callers' routes. */
@Controller
@Requires(property = AdminServer.SERVER_PROPERTY, value = CallerServer.CALLERS)
final class CallerController {
    private final CallerRequests requests;

    CallerController(CallerRequests requests) {
        this.requests = requests;
    }

    @Get("/v1/addresses")
    HttpResponse<?> addresses(HttpRequest<?> request) {
        return requests.addresses(request);
    }

    @Post("/v1/requests")
    @Consumes(MediaType.ALL)
    Publisher<HttpResponse<?>> submit(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return requests.submit(request, body == null ? new byte[0] : body);
    }

    @Get("/v1/requests{?ticket,number}")
    Publisher<HttpResponse<?>> lookup(
            HttpRequest<?> request, @Nullable @QueryValue String ticket, @Nullable @QueryValue String number) {
        return requests.lookupNumber(request, ticket, number);
    }

    @Get("/v1/requests/{id}")
    Publisher<HttpResponse<?>> state(HttpRequest<?> request, @PathVariable String id) {
        return requests.lookup(request, id);
    }

    @Get("/v1/requests/{id}/answer{?from}")
    Publisher<HttpResponse<?>> answer(
            HttpRequest<?> request, @PathVariable String id, @Nullable @QueryValue String from) {
        return requests.resume(request, id, from);
    }

    @Get("/v1/streams{?receipt,from}")
    Publisher<HttpResponse<?>> stream(
            HttpRequest<?> request, @Nullable @QueryValue String receipt, @Nullable @QueryValue String from) {
        return requests.resumeByReceipt(request, receipt, from);
    }

    @Delete("/v1/requests/{id}")
    Publisher<HttpResponse<?>> cancel(HttpRequest<?> request, @PathVariable String id) {
        return requests.cancel(request, id);
    }

    @Error(global = true, exception = ContentLengthExceededException.class)
    HttpResponse<?> tooLarge(ContentLengthExceededException tooLarge) {
        return CallerRequests.refusal(
                ErrorKind.BODY_TOO_LARGE, EntryText.get("the-body-is-larger-than-this-host-takes"));
    }
}
