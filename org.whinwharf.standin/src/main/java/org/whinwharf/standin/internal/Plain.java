package org.whinwharf.standin.internal;

import io.micronaut.http.HttpStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.standin.StandInText;
import org.whinwharf.standin.record.CallRecord;
import org.whinwharf.wire.schema.TargetLoad;
import reactor.core.publisher.Mono;

/** Plain service that does not notice repeats: each call that comes runs and is recorded. */
final class Plain {
    private final int slots;
    private final long callMillis;
    private final long startNumber;
    private final List<CallRecord> ran = new ArrayList<>();
    private PlainFaults faults = PlainFaults.NONE;
    private int running;

    Plain(int slots, long callMillis, long startNumber) {
        this.slots = slots;
        this.callMillis = callMillis;
        this.startNumber = startNumber;
    }

    synchronized Mono<String> call(String id, String name, String body) {
        if (faults.refuse() || running >= slots) {
            throw new StandInException(HttpStatus.SERVICE_UNAVAILABLE, "overloaded");
        }
        ran.add(new CallRecord(id, name, System.currentTimeMillis(), StandInText.inputDigest(body)));
        running++;
        boolean lost = faults.loseAnswers();
        Duration time = Duration.ofMillis(Math.round(callMillis * faults.slowFactor()));
        return Mono.delay(time)
                .doFinally(ignored -> finish())
                .flatMap(ignored -> lost ? Mono.never() : Mono.just(StandInText.callAnswer(id, name, body)));
    }

    synchronized TargetLoad load() {
        return TargetLoad.newBuilder()
                .setStartNumber(startNumber)
                .setRunning(running)
                .setWarm(!ran.isEmpty())
                .build();
    }

    synchronized List<CallRecord> record() {
        return List.copyOf(ran);
    }

    synchronized PlainFaults fault(String json) {
        faults = Json.merge(faults, PlainFaults.class, json);
        return faults;
    }

    private synchronized void finish() {
        running--;
    }
}
