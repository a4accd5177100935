package org.whinwharf.bench.internal;

import java.time.Duration;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.whinwharf.bench.history.HistoryEntry;
import reactor.core.publisher.Mono;

/** Sends a workload at its own times, whether answers come or not. */
final class LoadRun {
    private static final double SECOND_MICROS = 1e6;

    private final Transport transport;
    private final Workload workload;
    private final RetryPolicy retries;
    private final Consumer<HistoryEntry> history;
    private final LoadSummary warmUp = new LoadSummary();
    private final LoadSummary summary = new LoadSummary();
    private final Phaser open = new Phaser(1);

    LoadRun(Transport transport, Workload workload, double retryRatio, Consumer<HistoryEntry> history) {
        this.transport = transport;
        this.workload = workload;
        this.retries = new RetryPolicy(retryRatio);
        this.history = history;
    }

    /** Sends for so long, waits for what is still open and returns what came of what was sent after the warm-up. */
    LoadSummary.SummaryJson call(double warmSeconds, double seconds) {
        long startNanos = System.nanoTime();
        double endMicros = (warmSeconds + seconds) * SECOND_MICROS;
        for (Plan plan = workload.next(); plan.atMicros() < endMicros; plan = workload.next()) {
            sleepUntil(startNanos + TimeUnit.MICROSECONDS.toNanos(plan.atMicros()));
            open.register();
            retries.fresh();
            long sentMillis = System.currentTimeMillis();
            LoadSummary counted = plan.atMicros() < warmSeconds * SECOND_MICROS ? warmUp : summary;
            attempt(new AttemptLog(plan, 0, counted), null, sentMillis)
                    .doFinally(ignored -> open.arriveAndDeregister())
                    .subscribe();
        }
        open.arriveAndAwaitAdvance();
        return summary.json(seconds);
    }

    private Mono<Void> attempt(AttemptLog log, EntryTransport.Numbered repeated, long firstSentMillis) {
        return transport.send(log, repeated).flatMap(entry -> {
            history.accept(entry);
            log.summary().attempt(entry);
            return follow(log, entry, firstSentMillis);
        });
    }

    private Mono<Void> follow(AttemptLog log, HistoryEntry entry, long firstSentMillis) {
        Plan plan = log.plan();
        long leftMillis = firstSentMillis + plan.kind().deadlineMillis() - entry.endMillis();
        RetryPolicy.Decision decision =
                transport.retries() ? retries.decide(entry, leftMillis) : RetryPolicy.Decision.GIVE_UP;
        if (decision.step() == RetryPolicy.Step.GIVE_UP) {
            log.summary().intent(plan, firstSentMillis, entry);
            return Mono.empty();
        }
        boolean repeat = decision.step() == RetryPolicy.Step.REPEAT;
        return Mono.delay(Duration.ofMillis(decision.delayMillis()))
                .then(Mono.defer(() -> attempt(
                        new AttemptLog(plan, entry.attempt() + 1, log.summary()),
                        repeat ? log.numbered() : null,
                        firstSentMillis)));
    }

    private static void sleepUntil(long nanos) {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
