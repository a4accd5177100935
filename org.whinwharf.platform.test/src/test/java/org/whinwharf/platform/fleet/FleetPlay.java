package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One play: a deployed fleet, workers that crash, leave and are released anew, callers, and fronts that are killed. */
final class FleetPlay implements AutoCloseable {
    private static final String SERVICE = "s";
    private static final int WORKERS = 8;
    private static final int FIRST_WORKER_IP = 50;
    private static final int WORKER_PORT = 9_000;
    private static final int CALLERS = 20;
    private static final double FAULT_PROBABILITY = 0.25;
    private static final long PLAY_MILLIS = 14_000;
    private static final int MAX_FAULT_INTERVAL_MILLIS = 900;
    /** Time for which a worker that says that it leaves serves on, in which it must get nothing at the end. */
    private static final long LEAVE_MILLIS = 2_800;

    private static final int MAX_DOWN_MILLIS = 1_500;
    /** Time without an impairment after which a front is in touch. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long CALLER_END_SECONDS = 20;

    private final Random random;
    private final DeployedFleet fleet;
    private final FleetRecord record = new FleetRecord();
    private final WorkerStandIn[] workers = new WorkerStandIn[WORKERS];
    private final boolean[] busy = new boolean[WORKERS];
    private final ScheduledExecutorService schedule = Executors.newScheduledThreadPool(2);
    private final List<CallerStandIn> callers = new ArrayList<>();
    /** Impairments of each front by its address: begin and end. */
    private final Map<String, List<long[]>> impairments = new ConcurrentHashMap<>();

    private int lifetimes;
    private int version = 1;

    FleetPlay(Random random) throws IOException {
        this.random = random;
        fleet = new DeployedFleet();
    }

    /** Plays to the end and returns the records. */
    FleetHistory play() throws Exception {
        fleet.store().put("op/config", AttemptKind.config(1, CallerStandIn.HOST, SERVICE));
        fleet.start();
        for (int i = 0; i < WORKERS; i++) {
            startWorker(i, "w" + lifetimes++);
        }
        fleet.awaitReady();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            CallerStandIn caller =
                    new CallerStandIn("c" + i, this::runningFronts, record, i % 3 != 0, random.nextLong());
            callers.add(caller);
            threads.add(new Thread(caller, "caller " + i));
        }
        threads.forEach(Thread::start);
        injectFaults();
        callers.forEach(CallerStandIn::stop);
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(CALLER_END_SECONDS));
        }
        return record.history();
    }

    private List<InetSocketAddress> runningFronts() {
        return fleet.fronts().stream()
                .filter(FrontProcess::running)
                .map(front -> new InetSocketAddress(front.ip(), front.callerPort()))
                .toList();
    }

    private synchronized void startWorker(int place, String id) {
        WorkerStandIn worker = new WorkerStandIn(
                fleet.store(),
                record,
                new WorkerStandIn.Identity(id, SERVICE, "z" + "abcd".charAt(place % 4), "v" + version),
                new InetSocketAddress(fleet.ip(FIRST_WORKER_IP + place), WORKER_PORT),
                FAULT_PROBABILITY,
                random.nextLong());
        worker.start();
        workers[place] = worker;
        busy[place] = false;
    }

    private void injectFaults() throws InterruptedException {
        long startNanos = System.nanoTime();
        boolean allKilled = false;
        while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(PLAY_MILLIS)) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_FAULT_INTERVAL_MILLIS));
            int place = random.nextInt(WORKERS);
            switch (random.nextInt(6)) {
                case 0 -> crash(place);
                case 1, 2 -> leave(place);
                case 3 -> releaseNext();
                case 4 -> killFronts(1);
                default -> fleet.store().cutWatches();
            }
            if (!allKilled && System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(PLAY_MILLIS / 2)) {
                allKilled = true;
                killFronts(fleet.fronts().size());
            }
        }
    }

    private synchronized void releaseNext() {
        version = 1 + random.nextInt(2);
    }

    private synchronized void crash(int place) {
        if (busy[place]) {
            return;
        }
        busy[place] = true;
        WorkerStandIn worker = workers[place];
        worker.crash();
        boolean sameId = random.nextBoolean();
        String next = sameId ? worker.identity().id() : "w" + lifetimes++;
        schedule.schedule(
                () -> {
                    if (!sameId) {
                        worker.removeEntry();
                    }
                    startWorker(place, next);
                },
                random.nextInt(MAX_DOWN_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    private synchronized void leave(int place) {
        if (busy[place]) {
            return;
        }
        busy[place] = true;
        WorkerStandIn worker = workers[place];
        if (random.nextInt(3) == 0) {
            worker.leaveUnannounced();
        } else {
            worker.leave();
        }
        String next = "w" + lifetimes++;
        schedule.schedule(
                () -> {
                    worker.stop();
                    worker.removeEntry();
                    startWorker(place, next);
                },
                LEAVE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void killFronts(int count) {
        List<FrontProcess> running = new ArrayList<>(
                fleet.fronts().stream().filter(FrontProcess::running).toList());
        running.sort(Comparator.comparing(FrontProcess::name));
        long nowNanos = System.nanoTime();
        int first = random.nextInt(running.size());
        for (int i = 0; i < count; i++) {
            FrontProcess front = running.get((first + i) % running.size());
            front.kill();
            front.start();
            long[] span = {nowNanos, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS)};
            impairments
                    .computeIfAbsent(front.ip(), ip -> new CopyOnWriteArrayList<>())
                    .add(span);
        }
    }

    /** Tells whether the front of an answer was in touch all the while. */
    boolean inTouch(CallerAnswer answer) {
        return calm(answer.frontIp(), answer.sentNanos(), answer.endedNanos());
    }

    /** Tells whether all fronts were in touch when a run began, as a request may be relayed by any of them. */
    boolean inTouch(WorkerRun run) {
        return fleet.fronts().stream().allMatch(front -> calm(front.ip(), run.beganNanos(), run.endedNanos()));
    }

    private boolean calm(String frontIp, long fromNanos, long untilNanos) {
        return impairments.getOrDefault(frontIp, List.of()).stream()
                .noneMatch(span -> span[0] <= untilNanos && span[1] >= fromNanos);
    }

    /** Returns the fleet, for the logs of its fronts. */
    DeployedFleet fleet() {
        return fleet;
    }

    @Override
    public void close() {
        callers.forEach(CallerStandIn::stop);
        schedule.shutdownNow();
        for (WorkerStandIn worker : workers) {
            if (worker != null) {
                worker.stop();
            }
        }
        fleet.close();
    }
}
