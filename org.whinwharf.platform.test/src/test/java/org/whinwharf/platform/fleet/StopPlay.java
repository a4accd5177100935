package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One play: a deployed fleet whose fronts are stopped in overlapping series, with further signals and configurations
 * beside, under callers that keep their connections until the process is gone.
 */
final class StopPlay implements AutoCloseable {
    private static final String SERVICE = "s";
    private static final int WORKERS = 12;
    private static final int WORKER_SLOTS = 16;
    private static final int FEW_SLOTS = 3;
    private static final int FIRST_WORKER_IP = 50;
    private static final int WORKER_PORT = 9_000;
    private static final int ROUTE_TIMEOUT_MILLIS = 20_000;

    private static final int STREAM_CALLERS = 40;
    private static final int SLOW_CALLERS = 16;
    private static final int SLOW_SHORT_CALLERS = 8;
    private static final int SHORT_CALLERS = 10;
    private static final int SLOW_READERS = 12;
    /** Lines of an answer of about two megabytes. */
    private static final int LARGE_LINES = 280_000;

    private static final int MAX_STREAM_MILLIS = 8_000;
    private static final int MAX_SHORT_MILLIS = 500;
    private static final int MAX_PAUSE_MILLIS = 4;
    private static final int MAX_SHORT_PAUSE_MILLIS = 60;
    private static final int SLOW_BODY_INTERVAL = 2;

    private static final long PLAY_MILLIS = 24_000;
    private static final long SETTLE_MILLIS = 3_000;
    private static final int MAX_STOPPING = 4;
    private static final int MIN_BETWEEN_STOPS_MILLIS = 2_000;
    private static final int MAX_BETWEEN_STOPS_MILLIS = 5_000;
    /** Bound of the time between the stops of two fronts that stop together. */
    private static final int MAX_APART_MILLIS = 1_500;

    private static final int MAX_SIGNAL_MILLIS = 7_000;
    private static final int MAX_GRACE_CHANGE_MILLIS = 2_500;
    private static final int SHORTER_GRACE_SECONDS = 5;
    private static final int LONGER_GRACE_SECONDS = 12;
    private static final int MAX_CONFIG_MILLIS = 3_000;
    /** Time after a SIGTERM at which callers no longer open connections to the front. */
    private static final long LISTED_MILLIS = 2_500;

    private static final int IDLE_CONNECTIONS = 3;
    private static final long CALLER_END_SECONDS = 60;

    /** Threads that wait for the ends of fronts, and others for signals and configurations. */
    private static final int THREADS = MAX_STOPPING + 3;

    private final Random random;
    private final Set<StopTrait> traits;
    private final DeployedFleet fleet = new DeployedFleet();
    private final FleetRecord record = new FleetRecord();
    private final List<WorkerStandIn> workers = new ArrayList<>();
    private final List<CallerStandIn> callers = new ArrayList<>();
    private final ScheduledExecutorService schedule = Executors.newScheduledThreadPool(THREADS);
    /** Time of the first SIGTERM of each front that stops now. */
    private final Map<FrontProcess, Long> stopping = new ConcurrentHashMap<>();

    private final Queue<FrontStop> stops = new ConcurrentLinkedQueue<>();
    private final Queue<StopHistory.HangUp> hangUps = new ConcurrentLinkedQueue<>();
    private int configVersion = 1;

    /** Prepares a play. */
    StopPlay(Random random, Set<StopTrait> traits) throws IOException {
        this.random = random;
        this.traits = traits;
    }

    /** Plays to the end and returns the records. */
    StopHistory play() throws Exception {
        publishConfig();
        fleet.start();
        for (int i = 0; i < WORKERS; i++) {
            startWorker(i);
        }
        fleet.awaitReady();
        // No condition tells that the fronts know all workers and each other.
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        List<Thread> threads = startCallers();
        scheduleConfig();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MILLIS);
        while (System.nanoTime() < endNanos) {
            stopSome();
            TimeUnit.MILLISECONDS.sleep(between(MIN_BETWEEN_STOPS_MILLIS, MAX_BETWEEN_STOPS_MILLIS));
        }
        DeployedFleet.await("end of the stops", stopping::isEmpty);
        callers.forEach(CallerStandIn::stop);
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(CALLER_END_SECONDS));
        }
        FrontStop idleStop = stopIdle();
        return new StopHistory(record.history(), List.copyOf(stops), List.copyOf(hangUps), idleStop);
    }

    private int between(int min, int max) {
        return min + random.nextInt(max - min);
    }

    private void startWorker(int place) {
        WorkerStandIn worker = new WorkerStandIn(
                fleet.store(),
                record,
                new WorkerStandIn.Identity("w" + place, SERVICE, "z" + "abcd".charAt(place % 4), "v1"),
                new InetSocketAddress(fleet.ip(FIRST_WORKER_IP + place), WORKER_PORT),
                StreamEnds.WHOLE,
                FaultMix.rare(),
                new WorkerStatements(
                        0, false, false, 0, true, traits.contains(StopTrait.QUEUES) ? FEW_SLOTS : WORKER_SLOTS),
                random.nextLong());
        worker.start();
        workers.add(worker);
    }

    private List<Thread> startCallers() {
        CallerHabits.Builder streams = CallerHabits.builder()
                .kinds(AttemptKind.STREAM, AttemptKind.STREAM, AttemptKind.RESUMABLE)
                .maxPauseMillis(MAX_PAUSE_MILLIS)
                .leftInterval(0)
                .timeoutMillis(ROUTE_TIMEOUT_MILLIS)
                .maxRunMillis(MAX_STREAM_MILLIS);
        addCallers("stream", STREAM_CALLERS, streams.build());
        addCallers(
                "slow",
                SLOW_CALLERS,
                streams.slowBodyInterval(SLOW_BODY_INTERVAL).build());
        CallerHabits.Builder calls = CallerHabits.builder()
                .kinds(AttemptKind.SAFE, AttemptKind.UNSAFE)
                .maxPauseMillis(MAX_SHORT_PAUSE_MILLIS)
                .leftInterval(0)
                .timeoutMillis(ROUTE_TIMEOUT_MILLIS)
                .maxRunMillis(MAX_SHORT_MILLIS);
        addCallers("short", SHORT_CALLERS, calls.build());
        addCallers(
                "slowshort",
                SLOW_SHORT_CALLERS,
                calls.slowBodyInterval(SLOW_BODY_INTERVAL).build());
        if (traits.contains(StopTrait.SLOW_READERS)) {
            addCallers(
                    "reader",
                    SLOW_READERS,
                    calls.slowBodyInterval(0).slowlyReadLines(LARGE_LINES).build());
        }
        List<Thread> threads =
                callers.stream().map(caller -> new Thread(caller, "caller")).toList();
        threads.forEach(Thread::start);
        return threads;
    }

    private void addCallers(String name, int count, CallerHabits habits) {
        for (int i = 0; i < count; i++) {
            callers.add(new CallerStandIn(name + i, this::listedFronts, record, habits, random.nextLong()));
        }
    }

    /** Returns the addresses that callers have: running fronts, and for a while those that stop. */
    private List<InetSocketAddress> listedFronts() {
        long nowNanos = System.nanoTime();
        return fleet.fronts().stream()
                .filter(front -> front.running()
                        && nowNanos - stopping.getOrDefault(front, nowNanos)
                                < TimeUnit.MILLISECONDS.toNanos(LISTED_MILLIS))
                .map(FrontProcess::callerAddress)
                .toList();
    }

    private synchronized void publishConfig() {
        fleet.store()
                .put(
                        "op/config",
                        AttemptKind.config(configVersion++, CallerStandIn.HOST, SERVICE, false, ROUTE_TIMEOUT_MILLIS));
    }

    private void scheduleConfig() {
        int millis = random.nextInt(MAX_CONFIG_MILLIS);
        schedule.scheduleWithFixedDelay(
                this::publishConfig, millis, MAX_CONFIG_MILLIS - millis / 2, TimeUnit.MILLISECONDS);
    }

    /** Stops one or two fronts that are ready, unless many stop already; hangs up another one. */
    private void stopSome() {
        List<FrontProcess> ready = new ArrayList<>(fleet.fronts().stream()
                .filter(front -> !stopping.containsKey(front) && fleet.ready(front))
                .toList());
        int count = Math.min(1 + random.nextInt(2), MAX_STOPPING - stopping.size());
        Collections.shuffle(ready, random);
        long delayMillis = 0;
        for (FrontProcess front : ready.subList(0, Math.max(0, Math.min(count, ready.size())))) {
            stopping.put(front, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis));
            schedule.schedule(() -> stopAndStart(front), delayMillis, TimeUnit.MILLISECONDS);
            scheduleSignals(front, delayMillis);
            delayMillis += random.nextInt(MAX_APART_MILLIS);
        }
        if (ready.size() > count && random.nextInt(3) == 0) {
            hangUp(ready.get(ready.size() - 1));
        }
    }

    /** Sends signals to a front that stops. */
    private void scheduleSignals(FrontProcess front, long delayMillis) {
        if (traits.contains(StopTrait.GRACE_CHANGES)) {
            int graceSeconds = random.nextBoolean() ? SHORTER_GRACE_SECONDS : LONGER_GRACE_SECONDS;
            schedule.schedule(
                    () -> whileStopping(front, known -> changeGrace(known, graceSeconds)),
                    delayMillis + random.nextInt(MAX_GRACE_CHANGE_MILLIS),
                    TimeUnit.MILLISECONDS);
        }
        if (random.nextBoolean()) {
            schedule.schedule(
                    () -> whileStopping(front, this::hangUp),
                    delayMillis + random.nextInt(MAX_SIGNAL_MILLIS),
                    TimeUnit.MILLISECONDS);
        }
        if (random.nextBoolean()) {
            schedule.schedule(
                    () -> whileStopping(front, FrontProcess::stop),
                    delayMillis + random.nextInt(MAX_SIGNAL_MILLIS),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void changeGrace(FrontProcess front, int graceSeconds) {
        front.setGraceSeconds(graceSeconds);
        hangUp(front);
    }

    private void hangUp(FrontProcess front) {
        hangUps.add(new StopHistory.HangUp(front.ip(), System.nanoTime()));
        front.hangUp();
    }

    private void whileStopping(FrontProcess front, Consumer<FrontProcess> action) {
        if (stopping.containsKey(front)) {
            action.accept(front);
        }
    }

    private void stopAndStart(FrontProcess front) {
        long atNanos = System.nanoTime();
        stopping.put(front, atNanos);
        front.stop();
        front.awaitExit();
        stops.add(new FrontStop(front.name(), front.ip(), atNanos, System.nanoTime()));
        stopping.remove(front);
        front.setGraceSeconds(FrontProcess.GRACE_SECONDS);
        front.start();
    }

    private FrontStop stopIdle() throws IOException {
        fleet.awaitReady();
        FrontProcess front = fleet.fronts().get(random.nextInt(fleet.fronts().size()));
        List<Socket> idle = new ArrayList<>();
        try {
            for (int i = 0; i < IDLE_CONNECTIONS; i++) {
                idle.add(new Socket(front.ip(), front.callerPort()));
            }
            long atNanos = System.nanoTime();
            front.stop();
            front.awaitExit();
            return new FrontStop(front.name(), front.ip(), atNanos, System.nanoTime());
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    /** Returns the fleet, for the logs of its fronts. */
    DeployedFleet fleet() {
        return fleet;
    }

    @Override
    public void close() {
        callers.forEach(CallerStandIn::stop);
        schedule.shutdownNow();
        workers.forEach(WorkerStandIn::stop);
        fleet.close();
    }
}
