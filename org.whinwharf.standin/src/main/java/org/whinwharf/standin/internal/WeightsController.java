package org.whinwharf.standin.internal;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Produces;
import reactor.core.publisher.Flux;

/** Routes of the weight store. */
@Controller
@Requires(property = ServerCommand.KIND, value = WeightsCommand.NAME)
final class WeightsController {
    private final Weights weights;

    WeightsController(Weights weights) {
        this.weights = weights;
    }

    @Get("/v1/weights/{model}/{version}")
    @Produces(MediaType.APPLICATION_OCTET_STREAM)
    Flux<byte[]> load(@PathVariable String model, @PathVariable String version) {
        return weights.load(model, version);
    }

    @Get("/admin/counters")
    String counters() {
        return Json.write(weights.counters());
    }
}
