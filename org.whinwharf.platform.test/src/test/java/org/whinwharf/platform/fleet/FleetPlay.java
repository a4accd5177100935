package org.whinwharf.platform.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One play: a deployed fleet, workers that crash, leave and are released anew, callers, and fronts that are killed. */
final class FleetPlay implements AutoCloseable {
    private static final String SERVICE = "s";
    private static final int WORKERS = 8;
    /** Addresses of workers; each worker with a new id that a release starts has one of its own. */
    private static final int PLACES = 64;

    private static final int FIRST_WORKER_IP = 50;
    private static final int WORKER_PORT = 9_000;
    private static final int CALLERS = 24;
    private static final long PLAY_MILLIS = 14_000;
    private static final int MAX_FAULT_INTERVAL_MILLIS = 900;
    /** Time for which a worker that says that it leaves serves on, in which it must get nothing at the end. */
    private static final long LEAVE_MILLIS = 2_800;

    private static final int MAX_DOWN_MILLIS = 1_500;
    private static final int MIN_RESTART_MILLIS = 300;
    private static final int MAX_RESTART_MILLIS = 2_300;
    /** Time for which the places of the old version are empty after it has left. */
    private static final long AFTER_RELEASE_MILLIS = 4_000;

    private static final long RELEASE_STEP_MILLIS = 1_000;
    /** Time from the start of a worker of a release to the leaving of the one that it replaces. */
    private static final long REPLACED_AFTER_MILLIS = 400;

    private static final int MAX_RELEASE_PAUSE_STEPS = 3;
    private static final int MAX_SPARSE_PAUSE_STEPS = 9;
    private static final int MIN_BEFORE_KILL_MILLIS = 3_000;
    private static final int MAX_BEFORE_KILL_MILLIS = 5_000;
    private static final int MIN_BETWEEN_KILLS_MILLIS = 8_000;
    private static final int MAX_BETWEEN_KILLS_MILLIS = 13_000;
    private static final long AFTER_KILLS_MILLIS = 5_000;
    private static final int MIN_LAPSE_MILLIS = 300;
    private static final int MAX_LAPSE_MILLIS = 2_000;

    /** Time without an impairment after which a front is in touch. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long CALLER_END_SECONDS = 20;
    /** One of so many rounds of faults has a strain of each kind. */
    private static final int STRAIN_INTERVAL = 2;

    private static final int MIN_STRAIN_MILLIS = 500;
    private static final int MAX_STRAIN_MILLIS = 3_000;
    private static final int SEPARATED_FRONTS = 3;
    /** Port at which separated fronts are told to find workers. */
    private static final int CLOSED_PORT = 9_001;

    private static final int BACKLOG_FILL = 4;

    private final Random random;
    private final StreamEnds streamEnds;
    private final Set<Strain> strains;
    /** Empty if no worker restarts at another version. */
    private final Set<RestartTrait> restartTraits;

    private final DeployedFleet fleet;
    private final FleetRecord record = new FleetRecord();
    private final WorkerStandIn[] workers = new WorkerStandIn[PLACES];
    private final boolean[] busy = new boolean[PLACES];
    /** How far the clock of each worker is ahead. */
    private final long[] skewMillis = new long[PLACES];

    private final ScheduledExecutorService schedule = Executors.newScheduledThreadPool(2);
    private final List<CallerStandIn> callers = new ArrayList<>();
    private final List<Closeable> filled = new ArrayList<>();
    /** Impairments of each front by its address: begin and end. */
    private final Map<String, List<long[]>> impairments = new ConcurrentHashMap<>();

    /** Connections that were silent for a while. */
    private final AtomicInteger silenced = new AtomicInteger();

    private final List<Long> jointKillsNanos = new CopyOnWriteArrayList<>();

    private int lifetimes;
    /** Number of places that have had a worker. */
    private int places = WORKERS;

    private volatile boolean oldVersionLeft;

    FleetPlay(Random random, StreamEnds streamEnds) throws IOException {
        this(random, streamEnds, Set.of(), new DeployedFleet());
    }

    FleetPlay(Random random, StreamEnds streamEnds, Set<Strain> strains, DeployedFleet fleet) {
        this(random, streamEnds, strains, Set.of(), fleet);
    }

    /** Prepares a play in which workers restart under their id and address at another version. */
    static FleetPlay ofRestarts(Random random, Set<RestartTrait> traits, DeployedFleet fleet) {
        return new FleetPlay(random, StreamEnds.WHOLE, Set.of(), traits, fleet);
    }

    private FleetPlay(
            Random random,
            StreamEnds streamEnds,
            Set<Strain> strains,
            Set<RestartTrait> restartTraits,
            DeployedFleet fleet) {
        this.random = random;
        this.streamEnds = streamEnds;
        this.strains = strains;
        this.restartTraits = restartTraits;
        this.fleet = fleet;
    }

    /** Plays to the end and returns the records. */
    FleetHistory play() throws Exception {
        if (strains.contains(Strain.RELAYED)) {
            separate();
        }
        boolean engine = restartTraits.contains(RestartTrait.ENGINE);
        fleet.store().put("op/config", AttemptKind.config(1, CallerStandIn.HOST, SERVICE, engine));
        fleet.start();
        for (int i = 0; i < WORKERS; i++) {
            skewMillis[i] = RestartTrait.drawSkewMillis(restartTraits, random);
            startWorker(i, "w" + lifetimes++, versionOf(i));
        }
        fleet.awaitReady();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            CallerStandIn caller =
                    new CallerStandIn("c" + i, this::runningFronts, record, habits(i), random.nextLong());
            callers.add(caller);
            threads.add(new Thread(caller, "caller " + i));
        }
        threads.forEach(Thread::start);
        if (restartTraits.isEmpty()) {
            injectFaults();
        } else if (RestartTrait.replacesWorkersOrFronts(restartTraits)) {
            injectReleasesAndKills();
        } else {
            injectRestarts();
        }
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

    /** Returns how a caller sends; where workers restart, every other caller sends streams only. */
    private CallerHabits habits(int caller) {
        CallerHabits.Builder habits = CallerHabits.builder().keepsConnection(caller % 3 != 0);
        return restartTraits.isEmpty() || caller % 2 == 0
                ? habits.build()
                : habits.kinds(AttemptKind.RESUMABLE).build();
    }

    private void startWorker(int place, String id, int version) {
        startWorker(place, id, version, 0);
    }

    private synchronized void startWorker(int place, String id, int version, long entryDelayMillis) {
        WorkerStatements statements = new WorkerStatements(
                entryDelayMillis,
                restartTraits.contains(RestartTrait.BEATS),
                restartTraits.contains(RestartTrait.REPORTS),
                skewMillis[place],
                false,
                WorkerStatements.SLOTS);
        WorkerStandIn worker = new WorkerStandIn(
                fleet.store(),
                record,
                new WorkerStandIn.Identity(id, SERVICE, "z" + "abcd".charAt(place % 4), "v" + version),
                new InetSocketAddress(fleet.ip(FIRST_WORKER_IP + place), WORKER_PORT),
                streamEnds,
                restartTraits.isEmpty() ? FaultMix.draw(random) : FaultMix.drawBroken(random),
                statements,
                random.nextLong());
        worker.start();
        workers[place] = worker;
        busy[place] = false;
    }

    /**
     * Returns the version of a new lifetime: each half of the places has its own, until the old one has left; where
     * releases change it, all begin with the same one.
     */
    private int versionOf(int place) {
        if (restartTraits.contains(RestartTrait.RELEASES)) {
            return 1;
        }
        return oldVersionLeft || place >= WORKERS / 2 ? 2 : 1;
    }

    private void injectFaults() throws InterruptedException {
        long startNanos = System.nanoTime();
        long halfNanos = TimeUnit.MILLISECONDS.toNanos(PLAY_MILLIS / 2);
        while (System.nanoTime() - startNanos < 2 * halfNanos) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_FAULT_INTERVAL_MILLIS));
            // Targets of the new version that have just started keep any inference about versions from being drawn.
            int place = random.nextInt(oldVersionLeft ? WORKERS : WORKERS / 2);
            workers[random.nextInt(WORKERS)].setFaults(FaultMix.draw(random));
            switch (random.nextInt(5)) {
                case 0 -> crash(place, random.nextBoolean());
                case 1, 2 -> leave(place);
                case 3 -> killFronts(1, () -> {});
                default -> fleet.store().cutWatches();
            }
            strains.forEach(this::strain);
            if (!oldVersionLeft && System.nanoTime() - startNanos > halfNanos) {
                oldVersionLeft = true;
                killFronts(fleet.fronts().size(), () -> {
                    for (int i = 0; i < WORKERS / 2; i++) {
                        crash(i, false);
                    }
                });
            }
        }
    }

    private void injectRestarts() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MILLIS);
        while (System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_FAULT_INTERVAL_MILLIS));
            workers[random.nextInt(WORKERS)].setFaults(FaultMix.drawBroken(random));
            int place = random.nextInt(WORKERS);
            switch (random.nextInt(8)) {
                case 0 -> leave(place);
                case 1 -> killFronts(1, () -> {});
                case 2 -> fleet.store().cutWatches();
                default -> restart(place);
            }
        }
    }

    private void injectReleasesAndKills() throws InterruptedException {
        long startNanos = System.nanoTime();
        long firstMillis = MIN_BEFORE_KILL_MILLIS + random.nextInt(MAX_BEFORE_KILL_MILLIS - MIN_BEFORE_KILL_MILLIS);
        long secondMillis = firstMillis
                + MIN_BETWEEN_KILLS_MILLIS
                + random.nextInt(MAX_BETWEEN_KILLS_MILLIS - MIN_BETWEEN_KILLS_MILLIS);
        if (restartTraits.contains(RestartTrait.RELEASES)) {
            Release release = new Release(new Random(random.nextLong()));
            schedule.scheduleAtFixedRate(
                    release::step, RELEASE_STEP_MILLIS, RELEASE_STEP_MILLIS, TimeUnit.MILLISECONDS);
        }
        injectAroundReleases(startNanos + TimeUnit.MILLISECONDS.toNanos(firstMillis));
        killJointly(fleet.fronts().size() - 1);
        injectAroundReleases(startNanos + TimeUnit.MILLISECONDS.toNanos(secondMillis));
        killJointly(fleet.fronts().size());
        injectAroundReleases(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AFTER_KILLS_MILLIS));
    }

    private void injectAroundReleases(long endNanos) throws InterruptedException {
        while (true) {
            int pauseMillis = random.nextInt(MAX_FAULT_INTERVAL_MILLIS);
            long leftNanos = endNanos - System.nanoTime();
            if (leftNanos < TimeUnit.MILLISECONDS.toNanos(pauseMillis)) {
                TimeUnit.NANOSECONDS.sleep(leftNanos);
                return;
            }
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            synchronized (this) {
                workers[drawPlace()].setFaults(FaultMix.drawBroken(random));
            }
            int place = drawPlace();
            switch (random.nextInt(6)) {
                case 0 -> fleet.store().cutWatches();
                case 1 -> {
                    if (restartTraits.contains(RestartTrait.LAPSES)) {
                        lapse(place);
                    }
                }
                case 2 -> restart(place);
                case 3, 4 -> {
                    if (!restartTraits.contains(RestartTrait.SPARSE)) {
                        restart(place);
                    }
                }
                default -> {
                    // Nothing but the release goes on.
                }
            }
        }
    }

    private void killJointly(int count) {
        if (restartTraits.contains(RestartTrait.JOINT_KILLS)) {
            jointKillsNanos.add(System.nanoTime());
            killFronts(count, () -> {});
        }
    }

    /** Draws a place whose worker has not been replaced. */
    private synchronized int drawPlace() {
        List<Integer> taken = new ArrayList<>();
        for (int place = 0; place < places; place++) {
            if (workers[place] != null) {
                taken.add(place);
            }
        }
        return taken.get(random.nextInt(taken.size()));
    }

    /** Lets the entry of a worker that serves on lapse; the worker writes it again later. */
    private synchronized void lapse(int place) {
        if (busy[place]) {
            return;
        }
        WorkerStandIn worker = workers[place];
        worker.lapse();
        schedule.schedule(
                worker::renewEntry,
                MIN_LAPSE_MILLIS + random.nextInt(MAX_LAPSE_MILLIS - MIN_LAPSE_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    /** Replaces the worker of another version that has been there the longest by one with a new id; false if none. */
    private synchronized boolean replaceOne(int version) {
        for (int place = 0; place < places && places < PLACES; place++) {
            WorkerStandIn worker = workers[place];
            if (worker != null && !busy[place] && !worker.identity().version().equals("v" + version)) {
                busy[place] = true;
                startWorker(places++, "w" + lifetimes++, version);
                int replaced = place;
                schedule.schedule(() -> drain(replaced), REPLACED_AFTER_MILLIS, TimeUnit.MILLISECONDS);
                return true;
            }
        }
        return false;
    }

    /** Lets a worker leave that stays busy until it is gone. */
    private void drain(int place) {
        WorkerStandIn worker = workers[place];
        worker.leave();
        schedule.schedule(
                () -> {
                    worker.stop();
                    worker.removeEntry();
                    synchronized (this) {
                        workers[place] = null;
                    }
                },
                LEAVE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Releases of one version after the other, of which some are taken back before their end. */
    private final class Release {
        private final Random draws;
        private int version = 2;
        private int steps;
        private int pauseSteps;

        Release(Random draws) {
            this.draws = draws;
            steps = drawSteps();
            if (restartTraits.contains(RestartTrait.SPARSE)) {
                pauseSteps = drawPauseSteps();
            }
        }

        private int drawPauseSteps() {
            return draws.nextInt(
                    restartTraits.contains(RestartTrait.SPARSE) ? MAX_SPARSE_PAUSE_STEPS : MAX_RELEASE_PAUSE_STEPS);
        }

        private int drawSteps() {
            return draws.nextInt(3) == 0 ? 2 + draws.nextInt(WORKERS - 2) : WORKERS;
        }

        /** Replaces a worker; begins the next release if this one has ended or is taken back. */
        void step() {
            if (pauseSteps > 0) {
                pauseSteps--;
            } else if (steps-- == 0 || !replaceOne(version)) {
                version = version == 1 ? 2 : 1;
                steps = drawSteps();
                pauseSteps = drawPauseSteps();
            }
        }
    }

    /** Ends a process and starts another one under its id and address at the other version. */
    private synchronized void restart(int place) {
        if (busy[place]) {
            return;
        }
        busy[place] = true;
        WorkerStandIn worker = workers[place];
        worker.crash(WorkerCrash.values()[random.nextInt(WorkerCrash.values().length)]);
        worker.millisToLapse().ifPresent(millis -> schedule.schedule(worker::lapse, millis, TimeUnit.MILLISECONDS));
        String id = worker.identity().id();
        int nextVersion = worker.identity().version().equals("v1") ? 2 : 1;
        long entryDelayMillis = RestartTrait.drawEntryDelayMillis(restartTraits, random);
        schedule.schedule(
                () -> startWorker(place, id, nextVersion, entryDelayMillis),
                MIN_RESTART_MILLIS + random.nextInt(MAX_RESTART_MILLIS - MIN_RESTART_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    private void strain(Strain strain) {
        FrontProcess front = fleet.fronts().get(random.nextInt(fleet.fronts().size()));
        int place = random.nextInt(WORKERS);
        Silence.Direction direction = Silence.Direction.values()[random.nextInt(Silence.Direction.values().length)];
        long millis = MIN_STRAIN_MILLIS + random.nextInt(MAX_STRAIN_MILLIS - MIN_STRAIN_MILLIS);
        if (random.nextInt(STRAIN_INTERVAL) > 0) {
            return;
        }
        if (strain == Strain.FROZEN) {
            front.freeze();
            endLater(front, millis, front::resume);
        } else if (strain == Strain.SILENT) {
            WorkerStandIn worker = workers[place];
            worker.begin(direction, front::holds);
            endLater(front, millis, () -> silenced.addAndGet(worker.endSilence()));
        }
    }

    private void endLater(FrontProcess front, long millis, Runnable end) {
        long nowNanos = System.nanoTime();
        impaired(front, nowNanos, nowNanos + TimeUnit.MILLISECONDS.toNanos(millis + CONTACT_MILLIS));
        schedule.schedule(end, millis, TimeUnit.MILLISECONDS);
    }

    private void impaired(FrontProcess front, long fromNanos, long untilNanos) {
        impairments
                .computeIfAbsent(front.ip(), ip -> new CopyOnWriteArrayList<>())
                .add(new long[] {fromNanos, untilNanos});
    }

    /** Keeps some fronts from half of the places: at every other one connections are refused, or never established. */
    private void separate() throws IOException {
        int first = random.nextInt(fleet.fronts().size());
        Map<String, Set<String>> unreachable = new HashMap<>();
        for (int i = 0; i < SEPARATED_FRONTS; i++) {
            Set<String> addresses = new HashSet<>();
            for (int place = 0; place < WORKERS; place++) {
                if (random.nextBoolean()) {
                    addresses.add(fleet.ip(FIRST_WORKER_IP + place) + ":" + WORKER_PORT);
                }
            }
            unreachable.put(
                    fleet.fronts().get((first + i) % fleet.fronts().size()).ip(), addresses);
        }
        for (int place = 0; place < WORKERS; place += 2) {
            fill(new InetSocketAddress(fleet.ip(FIRST_WORKER_IP + place), CLOSED_PORT));
        }
        fleet.store().setView((frontIp, value) -> {
            String seen = value;
            for (String address : unreachable.getOrDefault(frontIp, Set.of())) {
                seen = seen.replace(
                        "\"" + address + "\"",
                        "\"" + address.substring(0, address.indexOf(':')) + ":" + CLOSED_PORT + "\"");
            }
            return seen;
        });
    }

    /** Listens without accepting, so that the system drops further connections. */
    private void fill(InetSocketAddress address) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open().bind(address, 1);
        filled.add(server);
        for (int i = 0; i < BACKLOG_FILL; i++) {
            SocketChannel connection = SocketChannel.open();
            connection.configureBlocking(false);
            connection.connect(address);
            filled.add(connection);
        }
    }

    private synchronized void crash(int place, boolean sameId) {
        if (busy[place]) {
            return;
        }
        busy[place] = true;
        WorkerStandIn worker = workers[place];
        worker.crash(WorkerCrash.values()[random.nextInt(WorkerCrash.values().length)]);
        if (!sameId) {
            worker.removeEntry();
        }
        String next = sameId ? worker.identity().id() : "w" + lifetimes++;
        schedule.schedule(
                () -> {
                    startWorker(place, next, versionOf(place));
                },
                oldVersionLeft ? AFTER_RELEASE_MILLIS : random.nextInt(MAX_DOWN_MILLIS),
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
                    startWorker(place, next, versionOf(place));
                },
                LEAVE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Kills fronts and starts them again.
     *
     * @param between what happens while they are down
     */
    private void killFronts(int count, Runnable between) {
        List<FrontProcess> fronts = fleet.fronts();
        int first = random.nextInt(fronts.size());
        List<FrontProcess> killed = new ArrayList<>();
        long beganNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            FrontProcess front = fronts.get((first + i) % fronts.size());
            front.kill();
            killed.add(front);
        }
        between.run();
        for (FrontProcess front : killed) {
            front.start();
            impaired(front, beganNanos, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS));
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

    /** Returns the number of connections that were silent for a while. */
    int silenced() {
        return silenced.get();
    }

    /** Returns when most or all fronts were killed at once. */
    List<Long> jointKillsNanos() {
        return List.copyOf(jointKillsNanos);
    }

    /** Returns the changes of the workers. */
    List<WorkerEvent> workerEvents() {
        return record.workerEvents();
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
                worker.endSilence();
            }
        }
        fleet.close();
        for (Closeable channel : filled) {
            try {
                channel.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
