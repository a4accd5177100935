package org.whinwharf.standin.internal;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.Put;
import io.micronaut.http.annotation.QueryValue;
import java.util.Optional;
import org.whinwharf.wire.schema.HostList;
import reactor.core.publisher.Mono;

/** Routes of the configuration service and the host list. */
@Controller
@Requires(property = ServerCommand.KIND, value = PlatformCommand.NAME)
final class PlatformController {
    private final Platform platform;

    PlatformController(Platform platform) {
        this.platform = platform;
    }

    @Get("/v1/documents/{environment}")
    @Produces(MediaType.APPLICATION_OCTET_STREAM)
    Mono<HttpResponse<byte[]>> document(
            @PathVariable String environment,
            @QueryValue(defaultValue = "0") long above,
            @QueryValue(defaultValue = "0") long waitMillis) {
        return platform.document(environment, above, waitMillis)
                .<HttpResponse<byte[]>>map(published -> HttpResponse.ok(published.bytes())
                        .header("X-Generation", Long.toString(published.generation())))
                .defaultIfEmpty(HttpResponse.notModified());
    }

    @Get("/v1/hosts")
    Mono<HttpResponse<String>> hosts(
            @QueryValue(defaultValue = "0") long after, @QueryValue(defaultValue = "0") long waitMillis) {
        return platform.hosts(after, waitMillis)
                .<HttpResponse<String>>map(list -> HttpResponse.ok(Json.print(list)))
                .defaultIfEmpty(HttpResponse.notModified());
    }

    @Put("/admin/documents/{environment}")
    @Consumes(MediaType.ALL)
    String publishDocument(
            @PathVariable String environment, @QueryValue Optional<Long> generation, @Body byte[] document) {
        return Long.toString(platform.publish(environment, document, generation));
    }

    @Put("/admin/hosts")
    @Consumes(MediaType.ALL)
    String publishHosts(@Body String hosts) {
        return Long.toString(
                platform.publish(Json.parse(hosts, HostList.newBuilder()).build()));
    }

    @Get("/admin/hosts")
    String newestHosts() {
        return Json.print(platform.newestHosts());
    }

    @Get("/admin/counters")
    String counters() {
        return Json.write(platform.counters());
    }

    @Post("/faults")
    @Consumes(MediaType.ALL)
    String faults(@Body String faults) {
        return Json.write(platform.fault(faults));
    }
}
