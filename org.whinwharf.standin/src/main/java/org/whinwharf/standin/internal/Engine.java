package org.whinwharf.standin.internal;

import io.micronaut.http.HttpStatus;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.whinwharf.standin.StandInText;
import org.whinwharf.standin.record.EngineRecord;
import org.whinwharf.standin.record.StreamRecord;
import org.whinwharf.wire.schema.CacheEvent;
import org.whinwharf.wire.schema.CacheEvents;
import org.whinwharf.wire.schema.StreamOrder;
import org.whinwharf.wire.schema.StreamToken;
import org.whinwharf.wire.schema.TargetLoad;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Model engine: a {@link Batch} with the streams that read from it and the late news that it publishes. */
final class Engine {
    private static final int MAX_CACHE_EVENTS = 8192;
    private static final long LOAD_STEP_MILLIS = 20;

    private final EngineSettings settings;
    private final EngineOrders orders;
    private final UniformRandomProvider random;
    private final Batch batch;
    private final Map<String, Work> known = new LinkedHashMap<>();
    private final Map<String, Sinks.Many<StreamToken>> streams = new HashMap<>();
    private final Deque<Timed<TargetLoad>> loads = new ArrayDeque<>();
    private final Deque<Timed<CacheEvent>> cacheEvents = new ArrayDeque<>();
    private final Deque<Work> finished = new ArrayDeque<>();
    private Sinks.Many<Boolean> cut = Sinks.many().multicast().directBestEffort();
    private EngineFaults faults = EngineFaults.NONE;
    private long startNumber;
    private long nextCacheEvent = 1;

    Engine(EngineSettings settings, EngineOrders orders, long nowMillis) {
        this.settings = settings;
        this.orders = orders;
        this.random = RandomSource.SPLIT_MIX_64.create(settings.seed());
        this.batch = new Batch(settings, nowMillis);
        this.startNumber = newStartNumber();
    }

    private record Timed<T>(long atMillis, T value) {}

    /** Admits a stream and returns its tokens. */
    synchronized Flux<StreamToken> submit(StreamOrder order, long nowMillis) {
        Work old = known.get(order.getId());
        if (old != null) {
            old.posts++;
            throw new StandInException(HttpStatus.CONFLICT, "known");
        }
        if (!orders.serves(order.getModel())) {
            throw new StandInException(HttpStatus.NOT_FOUND, "unknown-model");
        }
        Work work = new Work(order, nowMillis);
        if (faults.refuse() || !batch.admit(work, nowMillis)) {
            throw new StandInException(HttpStatus.SERVICE_UNAVAILABLE, "overloaded");
        }
        known.put(work.id, work);
        streams.put(work.id, Sinks.many().replay().all());
        return tokens(work.id, 0);
    }

    synchronized Flux<StreamToken> tokens(String id, int from) {
        Sinks.Many<StreamToken> stream = streams.get(id);
        if (stream == null) {
            throw new StandInException(HttpStatus.NOT_FOUND, "unknown-stream");
        }
        return stream.asFlux().skip(from).takeUntilOther(cut.asFlux());
    }

    synchronized void cancel(String id, long nowMillis) {
        Work work = known.get(id);
        if (work != null) {
            batch.cancel(work, nowMillis);
            close(id);
        }
    }

    synchronized void tick(long nowMillis) {
        for (Batch.Step step : batch.tick(nowMillis)) {
            publish(step);
        }
        publishCacheChanges(nowMillis);
        publishLoad(nowMillis);
        while (!finished.isEmpty() && finished.peek().endMillis < nowMillis - settings.keepMillis()) {
            streams.remove(finished.poll().id);
        }
    }

    synchronized TargetLoad load(long nowMillis) {
        long lag = faults.loadLagMillis() >= 0 ? faults.loadLagMillis() : settings.loadLagMillis();
        Timed<TargetLoad> oldest = loads.peek();
        while (loads.size() > 1 && loads.peek().atMillis() <= nowMillis - lag) {
            oldest = loads.poll();
        }
        if (oldest == null) {
            return TargetLoad.newBuilder().setStartNumber(startNumber).build();
        }
        loads.addFirst(oldest);
        return oldest.value().toBuilder()
                .setAgeMillis(nowMillis - oldest.atMillis())
                .build();
    }

    synchronized CacheEvents cacheEvents(long after, long nowMillis) {
        CacheEvents.Builder events = CacheEvents.newBuilder().setStartNumber(startNumber);
        for (Timed<CacheEvent> event : cacheEvents) {
            boolean late = event.atMillis() > nowMillis - settings.cacheLagMillis();
            if (!late && event.value().getNumber() > after) {
                events.addEvents(event.value());
            }
        }
        return events.build();
    }

    synchronized EngineFaults fault(String json, long nowMillis) {
        EngineFaults given = Json.merge(faults, EngineFaults.class, json);
        faults = given.lasting();
        batch.slow(given.slowFactor());
        if (given.goCold()) {
            batch.goCold(nowMillis);
        }
        if (given.restart()) {
            restart(nowMillis);
        }
        if (given.breakStreams()) {
            cut.tryEmitNext(true);
            cut = Sinks.many().multicast().directBestEffort();
        }
        return faults;
    }

    /** Returns the record; the offset turns the engine's clock into Unix time. */
    synchronized EngineRecord record(long unixOffsetMillis) {
        List<StreamRecord> records = new ArrayList<>();
        for (Work work : known.values()) {
            records.add(new StreamRecord(
                    work.id,
                    work.model,
                    work.startMillis + unixOffsetMillis,
                    work.endMillis == 0 ? 0 : work.endMillis + unixOffsetMillis,
                    work.made,
                    work.posts,
                    work.outcome.name().toLowerCase(java.util.Locale.ROOT),
                    work.promptTokens,
                    work.prefillTokens,
                    StandInText.inputDigest(work.prompt)));
        }
        return new EngineRecord(
                startNumber,
                batch.maxInFlight(),
                batch.maxInFlightCold(),
                batch.overloads(),
                records,
                orders.record(unixOffsetMillis));
    }

    synchronized long startNumber() {
        return startNumber;
    }

    EngineOrders orders() {
        return orders;
    }

    private void restart(long nowMillis) {
        batch.restart(nowMillis).forEach(work -> close(work.id));
        orders.restart();
        streams.clear();
        finished.clear();
        cacheEvents.clear();
        nextCacheEvent = 1;
        startNumber = newStartNumber();
    }

    private void publish(Batch.Step step) {
        Work work = step.work();
        if (step.token() == null) {
            close(work.id);
            return;
        }
        Sinks.Many<StreamToken> stream = streams.get(work.id);
        stream.tryEmitNext(step.token());
        if (step.token().getLast()) {
            stream.tryEmitComplete();
            finished.add(work);
        }
    }

    private void close(String id) {
        Sinks.Many<StreamToken> stream = streams.remove(id);
        if (stream != null) {
            stream.tryEmitComplete();
        }
    }

    private void publishCacheChanges(long nowMillis) {
        for (PrefixCache.Change change : batch.takeCacheChanges()) {
            long number = nextCacheEvent++;
            boolean lost = faults.dropCacheEvents() || random.nextDouble() < settings.cacheLoss();
            if (!lost) {
                CacheEvent event = CacheEvent.newBuilder()
                        .setNumber(number)
                        .setDigest(change.digest())
                        .setStored(change.stored())
                        .build();
                cacheEvents.add(new Timed<>(nowMillis, event));
            }
        }
        while (cacheEvents.size() > MAX_CACHE_EVENTS) {
            cacheEvents.poll();
        }
    }

    private void publishLoad(long nowMillis) {
        if (!loads.isEmpty() && loads.peekLast().atMillis() > nowMillis - LOAD_STEP_MILLIS) {
            return;
        }
        TargetLoad load = TargetLoad.newBuilder()
                .setStartNumber(startNumber)
                .setRunning(batch.running())
                .setQueued(batch.queued())
                .setWarm(batch.servedSinceCold())
                .addAllModels(orders.models())
                .setRole(orders.role())
                .build();
        loads.add(new Timed<>(nowMillis, load));
    }

    private static long newStartNumber() {
        return RandomSource.createLong() & Long.MAX_VALUE;
    }
}
