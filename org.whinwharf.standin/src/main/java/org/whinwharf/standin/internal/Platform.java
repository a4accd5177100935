package org.whinwharf.standin.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import io.micronaut.http.HttpStatus;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.GZIPInputStream;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.HostList;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Configuration service and host list. */
final class Platform {
    private static final int GZIP_FIRST_BYTE = 0x1f;

    private final RateLimit rate;
    private final Map<String, Channel> documents = new ConcurrentHashMap<>();
    private final Sinks.Many<HostList> hosts = Sinks.many().replay().latest();
    private HostList newestHosts = HostList.getDefaultInstance();
    private volatile PlatformFaults faults = PlatformFaults.NONE;

    Platform(double readsPerSecond) {
        this.rate = new RateLimit(readsPerSecond);
    }

    /**
     * One published document.
     *
     * @param generation its generation
     * @param bytes its published form
     */
    record Published(long generation, byte[] bytes) {}

    private record Channel(Published first, Sinks.Many<Published> newest) {}

    Mono<Published> document(String environment, long above, long waitMillis) {
        count(faults.documentsDown());
        Channel channel = documents.get(environment);
        if (channel == null) {
            throw new StandInException(HttpStatus.NOT_FOUND, "unknown-environment");
        }
        if (faults.staleDocument()) {
            return Mono.just(channel.first())
                    .filter(published -> published.generation() > above)
                    .switchIfEmpty(Mono.<Published>empty().delaySubscription(Duration.ofMillis(waitMillis)));
        }
        return channel.newest()
                .asFlux()
                .filter(published -> published.generation() > above)
                .next()
                .timeout(Duration.ofMillis(waitMillis), Mono.empty());
    }

    Mono<HostList> hosts(long after, long waitMillis) {
        count(faults.hostsDown());
        return hosts.asFlux()
                .filter(list -> list.getRevision() > after)
                .next()
                .timeout(Duration.ofMillis(waitMillis), Mono.empty());
    }

    synchronized long publish(String environment, byte[] bytes, Optional<Long> generation) {
        Published published = new Published(generation.orElseGet(() -> generationOf(bytes)), bytes);
        Channel channel = documents.computeIfAbsent(
                environment,
                name -> new Channel(published, Sinks.many().replay().latest()));
        channel.newest().tryEmitNext(published);
        return published.generation();
    }

    /** Replaces the host list; its revision grows even when the given one does not. */
    synchronized long publish(HostList list) {
        long revision = Math.max(newestHosts.getRevision() + 1, list.getRevision());
        newestHosts = list.toBuilder().setRevision(revision).build();
        HostList published = newestHosts;
        Duration lag = Duration.ofMillis(faults.listLagMillis());
        if (lag.isZero()) {
            hosts.tryEmitNext(published);
        } else {
            Mono.delay(lag).subscribe(ignored -> hosts.tryEmitNext(published));
        }
        return revision;
    }

    HostList newestHosts() {
        return newestHosts;
    }

    synchronized PlatformFaults fault(String json) {
        faults = Json.merge(faults, PlatformFaults.class, json);
        return faults;
    }

    RateLimit.Counters counters() {
        return rate.counters();
    }

    private void count(boolean down) {
        boolean admitted = rate.admit(System.currentTimeMillis());
        if (down) {
            throw new StandInException(HttpStatus.SERVICE_UNAVAILABLE, "down");
        }
        if (!admitted) {
            throw new StandInException(HttpStatus.TOO_MANY_REQUESTS, "too-many-reads");
        }
    }

    private static long generationOf(byte[] bytes) {
        try {
            if (bytes.length > 0 && bytes[0] == GZIP_FIRST_BYTE) {
                byte[] unpacked = new GZIPInputStream(new ByteArrayInputStream(bytes)).readAllBytes();
                return Document.parseFrom(unpacked).getGeneration();
            }
            return Json.read(bytes).path("generation").asLong();
        } catch (InvalidProtocolBufferException e) {
            throw new StandInException(HttpStatus.BAD_REQUEST, "malformed");
        } catch (IOException e) {
            throw new StandInException(HttpStatus.BAD_REQUEST, "unreadable");
        }
    }
}
