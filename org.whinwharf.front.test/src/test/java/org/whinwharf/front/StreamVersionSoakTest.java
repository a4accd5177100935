package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A release in which targets of a new software version join those of the old one, which leave one by one, while targets
 * break off streams, crash and restart, connections are reset, paths are cut, and fronts are killed and started.
 * Callers resume what was broken off at any front.
 *
 * <p>{@code -Dwhinwharf.soak.seeds=N} plays N seeds, from {@code -Dwhinwharf.soak.first} on.
 */
class StreamVersionSoakTest {
    private static final long FIRST_SEED = Long.getLong("whinwharf.soak.first", 1);
    private static final long SEEDS = Long.getLong("whinwharf.soak.seeds", 2);
    private static final int FRONTS = 5;
    /** Targets of the old version, and as many of the new one. */
    private static final int TARGETS_PER_VERSION = 5;
    /** Targets of the old version that the release leaves. */
    private static final int OLD_TARGETS_LEFT = 2;

    private static final int CALLERS = 16;
    private static final int MAX_RESUMPTIONS = 2;
    private static final int EVENTS = 8;
    private static final int MAX_EVENT_INTERVAL_MILLIS = 25;
    private static final double BREAK_PROBABILITY = 0.03;
    private static final long FAULT_MILLIS = 12_000;
    private static final int MAX_FAULT_INTERVAL_MILLIS = 500;
    private static final int RESTART_MILLIS = 300;
    private static final long RECOVERY_MILLIS = 3_000;
    /** Share of the resumed streams that continue, in proportion to that of the new streams that begin. */
    private static final double MIN_CONTINUED_RATIO = 0.5;

    private static final Pattern RESUME_AFTER = Pattern.compile("resume-after: (\\d+)");

    private final AtomicInteger streamCount = new AtomicInteger();
    private final AtomicInteger newAttempts = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger resumedAttempts = new AtomicInteger();
    private final AtomicInteger continued = new AtomicInteger();
    private final AtomicInteger completed = new AtomicInteger();
    private final List<String> mixed = Collections.synchronizedList(new ArrayList<>());
    private final Set<Integer> downTargets = Collections.synchronizedSet(new HashSet<>());
    private volatile boolean stopping;
    private CutFleet fleet;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /**
     * Guards against a stream with events of two versions, however it was resumed, and against refusing streams that
     * targets of their version could continue.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void streamsKeepTheirVersionThroughARelease(long seed) throws Exception {
        Random random = new Random(seed);
        List<String> versions = new ArrayList<>(Collections.nCopies(TARGETS_PER_VERSION, "v1"));
        versions.addAll(Collections.nCopies(TARGETS_PER_VERSION, "v2"));
        Random targetRandom = new Random(random.nextLong());
        ExecutorService callers = Executors.newCachedThreadPool();
        try (CutFleet started = new CutFleet(
                FRONTS,
                versions,
                random.nextBoolean(),
                2,
                (request, socket) -> answer(request, socket, targetRandom))) {
            fleet = started;
            for (int target = TARGETS_PER_VERSION; target < versions.size(); target++) {
                fleet.publishRemoval(target);
            }
            List<Future<?>> results = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Random callerRandom = new Random(random.nextLong());
                results.add(callers.submit(() -> callRepeatedly(callerRandom)));
            }
            injectFaults(random);
            Thread.sleep(RECOVERY_MILLIS);
            stopping = true;
            for (Future<?> result : results) {
                result.get();
            }
        } finally {
            callers.shutdownNow();
        }
        assertThat("streams with events of two versions: " + mixed, mixed.size(), is(0));
        assertThat("complete streams", completed.get(), greaterThan(CALLERS));
        assertThat("resumed streams", resumedAttempts.get(), greaterThan(CALLERS));
        double begunShare = begun.get() / (double) newAttempts.get();
        double continuedShare = continued.get() / (double) resumedAttempts.get();
        assertThat(
                continued + " of " + resumedAttempts + " continued, " + begun + " of " + newAttempts + " begun",
                continuedShare,
                greaterThanOrEqualTo(begunShare * MIN_CONTINUED_RATIO));
    }

    /** Runs the release beside faults of all kinds; kills two fronts and starts one. Heals everything at the end. */
    private void injectFaults(Random random) throws Exception {
        long startNanos = System.nanoTime();
        int releaseSteps = 0;
        int kills = 0;
        while (System.nanoTime() - startNanos < FAULT_MILLIS * 1_000_000) {
            Thread.sleep(random.nextInt(MAX_FAULT_INTERVAL_MILLIS));
            double elapsed = (System.nanoTime() - startNanos) / (FAULT_MILLIS * 1e6);
            if (releaseSteps < TARGETS_PER_VERSION && elapsed > releaseSteps / (TARGETS_PER_VERSION + 1.0)) {
                fleet.publishRestart(TARGETS_PER_VERSION + releaseSteps);
                if (releaseSteps < TARGETS_PER_VERSION - OLD_TARGETS_LEFT) {
                    fleet.publishRemoval(releaseSteps);
                }
                releaseSteps++;
            }
            if (kills < 2 && elapsed > (kills + 1) / 3.0) {
                fleet.front(kills).kill();
                kills++;
            }
            int target = random.nextInt(2 * TARGETS_PER_VERSION);
            switch (random.nextInt(4)) {
                case 0 -> crashAndRestart(target);
                case 1 -> fleet.linksTo(target).forEach(CutLink::resetOpen);
                case 2 -> cutPath(random.nextInt(FRONTS), target);
                default -> healPaths();
            }
            if (kills == 1 && fleet.size() == FRONTS) {
                fleet.startFrontBeside(FRONTS - 1);
            }
        }
        healPaths();
    }

    private void crashAndRestart(int target) throws Exception {
        downTargets.add(target);
        for (CutLink link : fleet.linksTo(target)) {
            link.cut(CutLink.Cut.RESET);
        }
        Thread.sleep(RESTART_MILLIS);
        for (CutLink link : fleet.linksTo(target)) {
            link.heal();
        }
        downTargets.remove(target);
    }

    private void cutPath(int front, int target) throws IOException {
        if (!downTargets.contains(target)) {
            fleet.links(front).get(target).cut(CutLink.Cut.RESET);
        }
    }

    private void healPaths() throws IOException {
        for (int target = 0; target < 2 * TARGETS_PER_VERSION; target++) {
            for (CutLink link : fleet.linksTo(target)) {
                link.heal();
            }
        }
    }

    private Void callRepeatedly(Random random) {
        while (!stopping) {
            int stream = streamCount.incrementAndGet();
            VersionedFleet.Received received = VersionedFleet.Received.nothing("s" + stream);
            for (int attempt = 0; attempt <= MAX_RESUMPTIONS && !received.complete(); attempt++) {
                received = call("s" + stream + "-" + attempt, received, random);
            }
            if (received.mixed()) {
                mixed.add(received.toString());
            }
            if (received.complete()) {
                completed.incrementAndGet();
            }
        }
        return null;
    }

    /** Sends one attempt to a front that is not known to be killed, and counts what becomes of it. */
    private VersionedFleet.Received call(String attemptId, VersionedFleet.Received before, Random random) {
        FrontFixture front = fleet.front(random.nextInt(fleet.size()));
        while (front.killed()) {
            front = fleet.front(random.nextInt(fleet.size()));
        }
        String response = "";
        boolean killedMeanwhile = false;
        try (Socket socket = VersionedFleet.open(front, attemptId, before)) {
            response = FrontFixture.readAll(socket);
        } catch (IOException e) {
            // The front was killed, or did not answer while paths were cut.
            killedMeanwhile = front.killed();
        }
        VersionedFleet.Received after = before.plus(attemptId, response);
        if (!killedMeanwhile) {
            count(before, after);
        }
        return after;
    }

    private void count(VersionedFleet.Received before, VersionedFleet.Received after) {
        boolean progress = after.versions().size() > before.versions().size() || after.complete();
        if (before.versions().isEmpty()) {
            newAttempts.incrementAndGet();
            begun.addAndGet(progress ? 1 : 0);
        } else {
            resumedAttempts.incrementAndGet();
            continued.addAndGet(progress ? 1 : 0);
        }
    }

    private void answer(String request, Socket socket, Random random) throws IOException {
        if (request.contains("/health")) {
            FakeTarget.write(socket, FakeTarget.answer(request, 200, ""));
            return;
        }
        String version = fleet.version(fleet.targetOf(socket));
        Matcher resumed = RESUME_AFTER.matcher(request.toLowerCase(Locale.ROOT));
        int after = resumed.find() ? Integer.parseInt(resumed.group(1)) : 0;
        FakeTarget.write(
                socket,
                "HTTP/1.1 200 X\r\nAttempt: " + FakeTarget.attemptId(request)
                        + "\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int id = after + 1; id <= EVENTS; id++) {
            pause(random);
            if (draw(random) < BREAK_PROBABILITY) {
                socket.close();
                return;
            }
            FakeTarget.write(socket, FakeTarget.chunk("id: " + id + "\ndata: " + version + "\n\n"));
        }
        FakeTarget.write(socket, "0\r\n\r\n");
    }

    private static double draw(Random random) {
        synchronized (random) {
            return random.nextDouble();
        }
    }

    private static void pause(Random random) throws IOException {
        try {
            Thread.sleep((long) (draw(random) * MAX_EVENT_INTERVAL_MILLIS));
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
