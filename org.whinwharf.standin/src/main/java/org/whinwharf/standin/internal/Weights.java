package org.whinwharf.standin.internal;

import io.micronaut.http.HttpStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import reactor.core.publisher.Flux;

/** Rate-limited weight store whose bodies come slowly. */
final class Weights {
    private static final int PARTS = 10;
    private static final int PART_BYTES = 1024;

    private final RateLimit rate;
    private final Duration partTime;

    Weights(double loadsPerSecond, long bodyMillis) {
        this.rate = new RateLimit(loadsPerSecond);
        this.partTime = Duration.ofMillis(Math.max(1, bodyMillis / PARTS));
    }

    Flux<byte[]> load(String model, String version) {
        if (!rate.admit(System.currentTimeMillis())) {
            throw new StandInException(HttpStatus.TOO_MANY_REQUESTS, "too-many-loads");
        }
        byte[] part = (model + ":" + version + "\n").repeat(PART_BYTES / 16).getBytes(StandardCharsets.UTF_8);
        return Flux.interval(partTime).take(PARTS).map(ignored -> part);
    }

    RateLimit.Counters counters() {
        return rate.counters();
    }
}
