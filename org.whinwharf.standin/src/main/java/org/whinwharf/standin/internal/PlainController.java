package org.whinwharf.standin.internal;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import java.util.Objects;
import java.util.Optional;
import reactor.core.publisher.Mono;

/** Routes of a plain service. */
@Controller
@Requires(property = ServerCommand.KIND, value = PlainCommand.NAME)
final class PlainController {
    private final Plains plains;

    PlainController(Plains plains) {
        this.plains = plains;
    }

    @Post("/v1/calls/{name}")
    @Consumes(MediaType.ALL)
    Mono<String> call(
            HttpRequest<?> request,
            @PathVariable String name,
            @Header("X-Request-Id") Optional<String> id,
            @Body @Nullable String body) {
        return plains.instances().of(request).call(id.orElse(""), name, Objects.toString(body, ""));
    }

    @Get("/v1/load")
    String load(HttpRequest<?> request) {
        return Json.print(plains.instances().of(request).load());
    }

    @Get("/v1/record")
    String record(HttpRequest<?> request) {
        return Json.write(plains.instances().of(request).record());
    }

    @Post("/faults")
    @Consumes(MediaType.ALL)
    String faults(HttpRequest<?> request, @Body String faults) {
        return Json.write(plains.instances().of(request).fault(faults));
    }
}
