package org.whinwharf.runtime.admin.internal;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import java.util.List;
import org.whinwharf.runtime.admin.AdminServer;
import org.whinwharf.schema.SchemaWriter;

/** Serves the admin routes. */
@Controller
@Requires(property = AdminServer.SERVER_PROPERTY, value = AdminServer.ADMIN)
final class AdminController {
    private static final String UP = "up\n";
    private static final String READY = "ready\n";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

    private final AdminRoutes routes;
    private final PrometheusMeterRegistry registry;

    AdminController(AdminRoutes routes, PrometheusMeterRegistry registry) {
        this.routes = routes;
        this.registry = registry;
    }

    @Get(value = "/health", produces = MediaType.TEXT_PLAIN)
    String health() {
        return UP;
    }

    @Get(value = "/ready", produces = MediaType.TEXT_PLAIN)
    HttpResponse<String> ready() {
        List<String> reasons = routes.view().reasons();
        if (reasons.isEmpty()) {
            return HttpResponse.ok(READY);
        }
        return HttpResponse.<String>status(HttpStatus.SERVICE_UNAVAILABLE).body(String.join("\n", reasons) + "\n");
    }

    @Get(value = "/metrics", produces = PROMETHEUS)
    String metrics() {
        return registry.scrape();
    }

    @Get(value = "/v1/status", produces = MediaType.APPLICATION_JSON)
    String status() {
        return SchemaWriter.compact(routes.view().status());
    }

    @Get(value = "/v1/{name}/{parameter}", produces = MediaType.APPLICATION_JSON)
    HttpResponse<String> other(@PathVariable String name, @PathVariable String parameter) {
        return routes.answer(name, parameter).map(HttpResponse::ok).orElseGet(HttpResponse::notFound);
    }
}
