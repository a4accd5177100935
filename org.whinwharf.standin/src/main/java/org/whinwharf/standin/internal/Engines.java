package org.whinwharf.standin.internal;

import io.micronaut.http.client.HttpClient;
import java.net.MalformedURLException;
import java.net.URI;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinwharf.wire.schema.EngineOrder;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Engines of this process, the duty that moves them on, and the loads of models. */
final class Engines {
    private static final Logger LOG = LoggerFactory.getLogger(Engines.class);
    private static final long TICK_MILLIS = 2;

    private final Instances<Engine> instances;
    private final long loadMillis;
    private final ScheduledExecutorService duty = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "engine-tick");
        thread.setDaemon(true);
        return thread;
    });

    Engines(Instances<Engine> instances, long loadMillis) {
        this.instances = instances;
        this.loadMillis = loadMillis;
    }

    void start() {
        duty.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    Instances<Engine> instances() {
        return instances;
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    void order(Engine engine, EngineOrder order) {
        if (engine.orders().accept(order, nowMillis())) {
            weights(order)
                    .then(Mono.delay(java.time.Duration.ofMillis(loadMillis)))
                    .subscribe(ignored -> engine.orders().loaded(order), fault -> {
                        LOG.warn("load of {} failed: {}", order.getLoadModel(), fault.toString());
                        engine.orders().loadFailed();
                    });
        }
    }

    private static Mono<Void> weights(EngineOrder order) {
        if (order.getWeightStoreUrl().isEmpty()) {
            return Mono.empty();
        }
        URI store = URI.create(order.getWeightStoreUrl());
        String path = "/v1/weights/" + order.getLoadModel() + "/" + order.getVersion();
        try {
            HttpClient client = HttpClient.create(store.toURL());
            return Flux.from(client.retrieve(path))
                    .doFinally(ignored -> client.close())
                    .then();
        } catch (MalformedURLException e) {
            return Mono.error(e);
        }
    }

    private void tick() {
        try {
            instances.byAddress().values().forEach(engine -> engine.tick(nowMillis()));
        } catch (RuntimeException e) {
            // An exception would end the schedule silently and every stream would hang; it is a fault of the stand-in.
            LOG.error("tick failed", e);
        }
    }
}
