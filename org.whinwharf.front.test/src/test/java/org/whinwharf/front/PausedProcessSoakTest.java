package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Targets in processes of their own that signals pause and resume, one by one and together, while others hang, are
 * killed and started again, or are removed and published again, configurations change, and fronts stop, are killed and
 * are started. Callers keep their connections until the front is gone.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on.
 */
class PausedProcessSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 2);
    private static final Path SUMMARIES =
            Path.of(System.getProperty("whinwharf.test.output", "target"), "paused-process-soak");
    private static final int MIN_FRONTS = 3;
    private static final int TARGETS = 8;
    private static final int MAX_HUNG = 2;
    private static final int CALLERS = 40;
    private static final long TIMEOUT_MILLIS = 9_000;
    private static final long OBJECTIVE_MILLIS = 300;
    private static final double LOW_RETRY_RATIO = 0.1;
    private static final double HIGH_RETRY_RATIO = 2;
    private static final double RETRY_ALLOWANCE = 10;

    private static final long FAULT_MILLIS = 11_000;
    /** Early enough for requests at a hung target to reach their deadline before it is killed. */
    private static final int MAX_HANG_AFTER_MILLIS = 1_500;

    private static final int PAUSE_SERIES = 2;
    private static final int MIN_PAUSE_MILLIS = 200;
    private static final int MAX_PAUSE_MILLIS = 6_000;
    private static final int MAX_PAUSE_INTERVAL_MILLIS = 1_500;
    private static final int MAX_KILL_INTERVAL_MILLIS = 4_000;
    private static final int MAX_RESTART_MILLIS = 1_000;
    private static final int MAX_PUBLISHING_MILLIS = 500;
    private static final int MAX_REMOVAL_INTERVAL_MILLIS = 3_000;
    private static final int MAX_REMOVAL_MILLIS = 2_000;
    private static final int MAX_CATALOG_INTERVAL_MILLIS = 1_500;
    private static final int MAX_FRONT_CHANGE_INTERVAL_MILLIS = 4_000;
    /** Time after the last fault from which every front must serve. */
    private static final long RECOVERY_MILLIS = 4_000;

    private static final int RECOVERY_REQUESTS = 5;
    private static final int MAX_THINK_MILLIS = 100;
    private static final int RECONNECT_MILLIS = 100;
    /** Longer than a front may take to answer. */
    private static final int CALLER_TIMEOUT_MILLIS = (int) TIMEOUT_MILLIS + 3_000;

    private final Queue<CallerAttempt> attempts = new ConcurrentLinkedQueue<>();
    private final AtomicInteger attemptCount = new AtomicInteger();
    private final ExecutorService tasks = Executors.newCachedThreadPool();
    private volatile boolean stopping;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /**
     * Guards against cutting or refusing answers of targets that were paused and went on, and against events that are
     * lost or joined wrongly, further runs and long overlaps when silent targets are replaced.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void answersOfPausedTargetsAreWhole(long seed) throws Exception {
        Random random = new Random(seed);
        int fronts = MIN_FRONTS + random.nextInt(2);
        boolean engine = seed % 2 == 0;
        double retryRatio = seed / 2 % 2 == 0 ? LOW_RETRY_RATIO : HIGH_RETRY_RATIO;
        FleetLimits limits =
                new FleetLimits(2 + random.nextInt(2), TIMEOUT_MILLIS, OBJECTIVE_MILLIS, retryRatio, RETRY_ALLOWANCE);
        try (ProcessFleet fleet = new ProcessFleet(fronts, TARGETS, engine, limits, random)) {
            List<Future<Void>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(start(this::callRepeatedly, fleet, random));
            }
            injectFaults(fleet, random);
            stopping = true;
            Thread.sleep(RECOVERY_MILLIS);
            List<String> unserved = callAllFronts(fleet);
            for (Future<Void> caller : callers) {
                caller.get();
            }
            List<String> violations = attempts.stream()
                    .flatMap(attempt -> attempt.violations(fleet).stream()
                            .map(violation -> violation + ": " + attempt.describe(fleet)))
                    .toList();
            writeSummary(seed, fleet, engine, violations);
            assertThat("violations", violations, is(empty()));
            assertThat("not served after the last fault", unserved, is(empty()));
            assertThat("whole responses", countWhole(), greaterThan((long) CALLERS));
        } finally {
            tasks.shutdownNow();
        }
    }

    private interface Activity {
        void run(ProcessFleet fleet, Random random) throws Exception;
    }

    private Future<Void> start(Activity activity, ProcessFleet fleet, Random random) {
        Random ownRandom = new Random(random.nextLong());
        return tasks.submit(() -> {
            activity.run(fleet, ownRandom);
            return null;
        });
    }

    /** Injects overlapping series of faults, and ends all faults of targets. */
    private void injectFaults(ProcessFleet fleet, Random random) throws Exception {
        long endNanos = System.nanoTime() + FAULT_MILLIS * 1_000_000;
        List<Future<Void>> series = new ArrayList<>();
        series.add(start(PausedProcessSoakTest::hangTargets, fleet, random));
        for (int i = 0; i < PAUSE_SERIES; i++) {
            series.add(start(repeated(PausedProcessSoakTest::pauseTargets, endNanos), fleet, random));
        }
        series.add(start(repeated(PausedProcessSoakTest::killTarget, endNanos), fleet, random));
        series.add(start(repeated(PausedProcessSoakTest::removeTarget, endNanos), fleet, random));
        series.add(start(repeated(PausedProcessSoakTest::changeCatalog, endNanos), fleet, random));
        series.add(start(PausedProcessSoakTest::changeFronts, fleet, random));
        Thread.sleep(Math.max(0, (endNanos - System.nanoTime()) / 1_000_000));
        for (Future<Void> each : series) {
            each.get();
        }
        fleet.healTargets();
    }

    private static Activity repeated(Activity activity, long endNanos) {
        return (fleet, random) -> {
            while (System.nanoTime() < endNanos) {
                activity.run(fleet, random);
            }
        };
    }

    private static void hangTargets(ProcessFleet fleet, Random random) throws Exception {
        Thread.sleep(random.nextInt(MAX_HANG_AFTER_MILLIS));
        for (PausableTarget target : draw(fleet, random, random.nextInt(MAX_HUNG + 1))) {
            target.hang();
        }
    }

    private static List<PausableTarget> draw(ProcessFleet fleet, Random random, int count) {
        List<PausableTarget> drawn = new ArrayList<>(fleet.targets());
        Collections.shuffle(drawn, random);
        return drawn.subList(0, count);
    }

    /** Pauses one target, several or all of them for a time whose magnitude is random as well. */
    private static void pauseTargets(ProcessFleet fleet, Random random) throws Exception {
        Thread.sleep(random.nextInt(MAX_PAUSE_INTERVAL_MILLIS));
        int[] counts = {1, 1 + random.nextInt(TARGETS), TARGETS};
        List<PausableTarget> paused = new ArrayList<>();
        for (PausableTarget target : draw(fleet, random, counts[random.nextInt(counts.length)])) {
            if (target.pause()) {
                paused.add(target);
            }
        }
        double maxFactor = MAX_PAUSE_MILLIS / (double) MIN_PAUSE_MILLIS;
        Thread.sleep(Math.round(MIN_PAUSE_MILLIS * Math.pow(maxFactor, random.nextDouble())));
        for (PausableTarget target : paused) {
            target.resume();
        }
    }

    private static void killTarget(ProcessFleet fleet, Random random) throws Exception {
        Thread.sleep(random.nextInt(MAX_KILL_INTERVAL_MILLIS));
        PausableTarget target = draw(fleet, random, 1).get(0);
        if (!target.hung() && target.kill()) {
            Thread.sleep(random.nextInt(MAX_RESTART_MILLIS));
            target.restart();
            Thread.sleep(random.nextInt(MAX_PUBLISHING_MILLIS));
            fleet.publishRestart(target);
        }
    }

    private static void removeTarget(ProcessFleet fleet, Random random) throws Exception {
        Thread.sleep(random.nextInt(MAX_REMOVAL_INTERVAL_MILLIS));
        PausableTarget target = draw(fleet, random, 1).get(0);
        fleet.publishRemoval(target);
        Thread.sleep(random.nextInt(MAX_REMOVAL_MILLIS));
        fleet.republish(target);
    }

    private static void changeCatalog(ProcessFleet fleet, Random random) throws Exception {
        Thread.sleep(random.nextInt(MAX_CATALOG_INTERVAL_MILLIS));
        fleet.republishCatalog();
    }

    /** Stops one front and kills another, in any order, and starts others in their place. */
    private static void changeFronts(ProcessFleet fleet, Random random) throws Exception {
        boolean stopFirst = random.nextBoolean();
        for (boolean stop : new boolean[] {stopFirst, !stopFirst}) {
            Thread.sleep(random.nextInt(MAX_FRONT_CHANGE_INTERVAL_MILLIS));
            ProcessFleet.Member leaving = fleet.drawServing(random).orElseThrow();
            if (stop) {
                fleet.stop(leaving);
            } else {
                fleet.kill(leaving);
            }
            fleet.startFront();
        }
    }

    private void callRepeatedly(ProcessFleet fleet, Random random) throws Exception {
        while (!stopping) {
            Optional<ProcessFleet.Member> front = fleet.drawServing(random);
            if (front.isPresent()) {
                callOverOneConnection(front.get(), random);
            }
            Thread.sleep(RECONNECT_MILLIS);
        }
    }

    private void callOverOneConnection(ProcessFleet.Member front, Random random) throws Exception {
        PausingFleet.Work[] works = PausingFleet.Work.values();
        try (Socket socket = front.connect();
                KeptConnection connection = new KeptConnection(socket, CALLER_TIMEOUT_MILLIS)) {
            while (connection.open() && !stopping) {
                PausingFleet.Work work = works[random.nextInt(works.length)];
                attempts.add(call(connection, front, work));
                Thread.sleep(random.nextInt(MAX_THINK_MILLIS));
            }
        } catch (IOException e) {
            // The front is gone; the next connection leads to another one.
            return;
        }
    }

    private CallerAttempt call(KeptConnection connection, ProcessFleet.Member front, PausingFleet.Work work) {
        String id = "a" + attemptCount.incrementAndGet();
        long sentAtMillis = System.currentTimeMillis();
        return new CallerAttempt(id, work, front, sentAtMillis, connection.exchange(work.request(id, false)));
    }

    /** Sends some requests to each front that serves, all at once; returns those that are not served. */
    private List<String> callAllFronts(ProcessFleet fleet) throws Exception {
        List<Callable<CallerAttempt>> calls = new ArrayList<>();
        for (ProcessFleet.Member front : fleet.serving()) {
            for (int i = 0; i < RECOVERY_REQUESTS; i++) {
                calls.add(() -> {
                    try (Socket socket = front.connect();
                            KeptConnection connection = new KeptConnection(socket, CALLER_TIMEOUT_MILLIS)) {
                        return call(connection, front, PausingFleet.Work.UNSAFE);
                    }
                });
            }
        }
        List<String> unserved = new ArrayList<>();
        for (Future<CallerAttempt> done : tasks.invokeAll(calls)) {
            CallerAttempt attempt = done.get();
            attempts.add(attempt);
            if (!attempt.whole()) {
                unserved.add(attempt.describe(fleet));
            }
        }
        return unserved;
    }

    private long countWhole() {
        return count(attempts, CallerAttempt::whole);
    }

    private static long count(Collection<CallerAttempt> attempts, Predicate<CallerAttempt> condition) {
        return attempts.stream().filter(condition).count();
    }

    private void writeSummary(long seed, ProcessFleet fleet, boolean engine, List<String> violations)
            throws IOException {
        List<CallerAttempt> failed =
                attempts.stream().filter(attempt -> !attempt.whole()).toList();
        List<String> lines = new ArrayList<>();
        lines.add("seed " + seed + ", engine " + engine + ", " + fleet.limits());
        lines.add(attempts.size() + " attempts, " + countWhole() + " whole, "
                + count(attempts, attempt -> attempt.wholeAfterPause(fleet)) + " of them after a pause, "
                + count(attempts, attempt -> attempt.replaced(fleet)) + " sent to several targets, "
                + count(failed, attempt -> attempt.refusedUnsent(fleet)) + " refused unsent, "
                + count(failed, CallerAttempt::frontGone) + " lost with their front, "
                + count(failed, attempt -> attempt.reachedDeadline(fleet)) + " at their deadline, overlap at most "
                + attempts.stream()
                        .mapToLong(attempt -> attempt.overlapMillis(fleet))
                        .max()
                        .orElse(0)
                + " ms, " + violations.size() + " violations");
        lines.addAll(violations);
        lines.add("");
        failed.stream()
                .filter(attempt -> !attempt.refusedUnsent(fleet))
                .map(attempt -> attempt.describe(fleet))
                .forEach(lines::add);
        Files.createDirectories(SUMMARIES);
        Files.write(SUMMARIES.resolve(seed + ".txt"), lines);
    }
}
