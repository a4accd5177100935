package org.whinwharf.bench.dedupe;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Plays one home's requests against one memory, in time of its own. */
final class DedupeRun {
    private static final double SECOND_MILLIS = 1000;
    private static final double SAMPLE_SECONDS = 60;

    private final DedupeScenario scenario;
    private final Supplier<DedupeMemory> fresh;
    private final UniformRandomProvider random;
    private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingDouble(Arrival::atSeconds));
    private final Set<Key> refused = new HashSet<>();
    private final Caller[] callers;
    private DedupeMemory memory;
    private double nextRestartSeconds;
    private double nextSampleSeconds;
    private long held;
    private final Tally tally = new Tally();

    private static final class Caller {
        private long ticket;
        private double untilSeconds;
        private long nextNumber;
    }

    private record Arrival(double atSeconds, long ticket, long number, Type type) {}

    private record Key(long ticket, long number) {}

    private enum Type {
        FRESH,
        REPEAT,
        EXPIRY
    }

    /** Sums of a run. */
    static final class Tally {
        long fresh;
        long refusedWrongly;
        long repeats;
        long repeatsLetThrough;
        double bytesSum;
        double heldSum;

        void add(Tally other) {
            fresh += other.fresh;
            refusedWrongly += other.refusedWrongly;
            repeats += other.repeats;
            repeatsLetThrough += other.repeatsLetThrough;
            bytesSum += other.bytesSum;
            heldSum += other.heldSum;
        }

        double bytesPerRequestHeld() {
            return bytesSum / heldSum;
        }
    }

    DedupeRun(DedupeScenario scenario, Supplier<DedupeMemory> fresh, long seed) {
        this.scenario = scenario;
        this.fresh = fresh;
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        this.callers = new Caller[scenario.callers()];
        for (int i = 0; i < callers.length; i++) {
            callers[i] = new Caller();
        }
    }

    Tally call(double seconds) {
        restart(0);
        double sendSeconds = 0;
        while (sendSeconds < seconds) {
            deliverUntil(sendSeconds);
            if (sendSeconds >= nextRestartSeconds) {
                restart(sendSeconds);
            }
            send(sendSeconds);
            sample(sendSeconds);
            sendSeconds += exponential(1 / scenario.rateAt(sendSeconds));
        }
        return tally;
    }

    /** Returns the memory as the run left it. */
    DedupeMemory memory() {
        return memory;
    }

    /** Returns how many requests that came have a ticket that is still good. */
    long held() {
        return held;
    }

    private void restart(double nowSeconds) {
        memory = fresh.get();
        arrivals.clear();
        held = 0;
        nextRestartSeconds = nowSeconds + exponential(1 / scenario.restartsPerSecond());
        for (Caller caller : callers) {
            // Callers ask at different times, so that tickets do not all run out at once.
            renew(caller, nowSeconds, scenario.ticketSeconds() * random.nextDouble());
        }
    }

    private void renew(Caller caller, double nowSeconds, double goodSeconds) {
        caller.ticket = random.nextLong();
        caller.untilSeconds = nowSeconds + goodSeconds;
        caller.nextNumber = 0;
    }

    private void send(double nowSeconds) {
        Caller caller = callers[random.nextInt(callers.length)];
        if (nowSeconds >= caller.untilSeconds) {
            renew(caller, nowSeconds, scenario.ticketSeconds());
        }
        long number = caller.nextNumber++;
        if (random.nextDouble() < scenario.lostShare()) {
            return;
        }
        double arriveSeconds = nowSeconds + exponential(scenario.delayMillis() / SECOND_MILLIS);
        double leftSeconds = caller.untilSeconds - arriveSeconds;
        if (leftSeconds <= 0) {
            return;
        }
        arrivals.add(new Arrival(arriveSeconds, caller.ticket, number, Type.FRESH));
        arrivals.add(new Arrival(caller.untilSeconds, caller.ticket, number, Type.EXPIRY));
        if (random.nextDouble() < scenario.repeatShare()) {
            double againSeconds = arriveSeconds + leftSeconds * random.nextDouble() / 2;
            arrivals.add(new Arrival(againSeconds, caller.ticket, number, Type.REPEAT));
        }
    }

    private void deliverUntil(double nowSeconds) {
        while (!arrivals.isEmpty() && arrivals.peek().atSeconds() <= nowSeconds) {
            deliver(arrivals.poll());
        }
    }

    private void deliver(Arrival arrival) {
        switch (arrival.type()) {
            case FRESH -> {
                tally.fresh++;
                held++;
                if (!memory.take(arrival.ticket(), arrival.number())) {
                    tally.refusedWrongly++;
                    refused.add(new Key(arrival.ticket(), arrival.number()));
                }
            }
            case REPEAT -> {
                boolean taken = memory.take(arrival.ticket(), arrival.number());
                boolean ranBefore = !refused.contains(new Key(arrival.ticket(), arrival.number()));
                tally.repeats++;
                tally.repeatsLetThrough += taken && ranBefore ? 1 : 0;
            }
            default -> {
                held--;
                memory.expire(arrival.ticket());
            }
        }
    }

    private void sample(double nowSeconds) {
        if (nowSeconds >= nextSampleSeconds) {
            nextSampleSeconds = nowSeconds + SAMPLE_SECONDS;
            tally.bytesSum += memory.bytes();
            tally.heldSum += held;
        }
    }

    private double exponential(double mean) {
        return -mean * Math.log1p(-random.nextDouble());
    }
}
