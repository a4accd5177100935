package org.whinwharf.standin.internal;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.QueryValue;
import io.micronaut.http.annotation.Status;
import io.micronaut.http.sse.Event;
import org.whinwharf.wire.schema.EngineOrder;
import org.whinwharf.wire.schema.StreamOrder;
import org.whinwharf.wire.schema.StreamToken;
import reactor.core.publisher.Flux;

/** Routes of a model engine. */
@Controller
@Requires(property = ServerCommand.KIND, value = EngineCommand.NAME)
final class EngineController {
    private final Engines engines;

    EngineController(Engines engines) {
        this.engines = engines;
    }

    @Post("/v1/streams")
    @Consumes(MediaType.ALL)
    @Produces(MediaType.TEXT_EVENT_STREAM)
    Flux<Event<String>> submit(HttpRequest<?> request, @Body String body) {
        StreamOrder order = Json.parse(body, StreamOrder.newBuilder()).build();
        return events(engine(request).submit(order, Engines.nowMillis()));
    }

    @Get("/v1/streams/{id}")
    @Produces(MediaType.TEXT_EVENT_STREAM)
    Flux<Event<String>> resume(
            HttpRequest<?> request, @PathVariable String id, @QueryValue(defaultValue = "0") int from) {
        return events(engine(request).tokens(id, from));
    }

    @Delete("/v1/streams/{id}")
    HttpResponse<String> cancel(HttpRequest<?> request, @PathVariable String id) {
        engine(request).cancel(id, Engines.nowMillis());
        return HttpResponse.noContent();
    }

    @Get("/v1/load")
    String load(HttpRequest<?> request) {
        return Json.print(engine(request).load(Engines.nowMillis()));
    }

    @Get("/v1/cache-events")
    String cacheEvents(HttpRequest<?> request, @QueryValue(defaultValue = "0") long after) {
        return Json.print(engine(request).cacheEvents(after, Engines.nowMillis()));
    }

    @Get("/v1/state")
    String state(HttpRequest<?> request) {
        Engine engine = engine(request);
        return Json.print(engine.orders().state(engine.startNumber()));
    }

    @Post("/v1/orders")
    @Consumes(MediaType.ALL)
    @Status(HttpStatus.ACCEPTED)
    void order(HttpRequest<?> request, @Body String body) {
        engines.order(
                engine(request), Json.parse(body, EngineOrder.newBuilder()).build());
    }

    @Get(uris = {"/record", "/v1/record"})
    String record(HttpRequest<?> request) {
        long unixOffsetMillis = System.currentTimeMillis() - Engines.nowMillis();
        return Json.write(engine(request).record(unixOffsetMillis));
    }

    @Post("/faults")
    @Consumes(MediaType.ALL)
    String faults(HttpRequest<?> request, @Body String faults) {
        return Json.write(engine(request).fault(faults, Engines.nowMillis()));
    }

    private Engine engine(HttpRequest<?> request) {
        return engines.instances().of(request);
    }

    private static Flux<Event<String>> events(Flux<StreamToken> tokens) {
        return tokens.map(token -> Event.of(Json.print(token)));
    }
}
