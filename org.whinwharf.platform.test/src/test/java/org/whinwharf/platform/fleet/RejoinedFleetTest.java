package org.whinwharf.platform.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests streams that callers take up again at fronts that were all killed at once and do not remember them. */
class RejoinedFleetTest {
    /** Streams of a service; with two versions, both begin some of them but for one run in thousands. */
    private static final int STREAMS = 14;

    /** Number of streams among which both of two versions begin some. */
    private static final int MAX_BEGUN = 50;

    private static final int FIRST_WORKER = 20;
    /** Long before any stream of the test. */
    private static final long LONG_AGO_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** Time for which callers follow a stream, whatever the timeout of its route. */
    private static final long MAX_STREAM_AGE_MILLIS = 20_000;

    private static final long LEFT_MILLIS = 5_000;
    /** Time in which fronts have surely asked for the history. */
    private static final long HISTORY_READ_MILLIS = 1_000;

    /** Time after which fronts presume that workers which have not written their entries again never do. */
    private static final long PRESUMED_MILLIS = 4_000;

    private static final String LONG = "long";
    private static final String SHORT = "short";
    private static final int LONG_TIMEOUT_MILLIS = 10_000;
    /** Shorter than {@link #LEFT_MILLIS}, as callers follow their streams for longer than the timeout of a route. */
    private static final int SHORT_TIMEOUT_MILLIS = 1_000;

    private final List<StreamWorker> workers = new ArrayList<>();
    private final Map<String, List<BrokenStream>> streams = new HashMap<>();
    private DeployedFleet fleet;
    private int attempts;
    private int startedWorkers;

    @BeforeEach
    void describeFleet() throws IOException {
        fleet = new DeployedFleet();
    }

    @AfterEach
    void stop() {
        fleet.stop();
        workers.forEach(StreamWorker::stop);
    }

    /** Guards against streams joined from two versions after a kill, and against refusing those of the only version. */
    @Test
    void streamsGoOnAfterAllFrontsWereKilledOnlyWhereOneVersionIsPossible() throws Exception {
        startWorkers("one", LONG_AGO_MILLIS, "v1", "v1");
        startWorkers("both", LONG_AGO_MILLIS, "v1", "v2");
        List<StreamWorker> leaving = new ArrayList<>(startWorkers("left", LONG_AGO_MILLIS, "v1"));
        leaving.addAll(startWorkers("replaced", LONG_AGO_MILLIS, "v1", "v1"));
        start("one", "both", "left", "replaced");
        fleet.store().discardHistory();
        begin(LONG + "/one", LONG + "/both", LONG + "/left", LONG + "/replaced", SHORT + "/replaced");
        assertThat("versions of left", firstVersions(LONG + "/left"), hasItem("v1"));
        startWorkers("left", LONG_AGO_MILLIS, "v2");
        startWorkers("replaced", 0, "v2", "v2");
        startWorkers("one", 0, "v1");
        leaving.forEach(this::leave);
        awaitMillis(LEFT_MILLIS);
        begin(SHORT + "/left");
        assertThat("versions of left, later", firstVersions(SHORT + "/left"), everyItem(is("v2")));
        fleet.fronts().parallelStream().forEach(FrontProcess::kill);
        fleet.fronts().forEach(FrontProcess::start);
        fleet.awaitReady();
        takeUp(fleet.fronts());
        assertNoneMixed();
        assertThat("went on with one version", wentOn(LONG + "/one"), is((long) STREAMS));
        awaitMillis(2 * SHORT_TIMEOUT_MILLIS);
        takeUp(fleet.fronts());
        assertNoneMixed();
        streams.keySet().removeIf(route -> !route.equals(SHORT + "/left"));
        awaitMillis(MAX_STREAM_AGE_MILLIS);
        takeUp(fleet.fronts());
        assertNoneMixed();
        assertThat("went on after the other had left for long", wentOn(SHORT + "/left"), is((long) STREAMS));
    }

    /** Guards against a history that was discarded right before and is taken for one in which nothing happened. */
    @Test
    void streamsAreNotJoinedAfterTheStoreDiscardedItsHistory() throws Exception {
        startWorkers("one", LONG_AGO_MILLIS, "v1", "v1");
        List<StreamWorker> leaving = new ArrayList<>(startWorkers("left", LONG_AGO_MILLIS, "v1"));
        leaving.addAll(startWorkers("replaced", LONG_AGO_MILLIS, "v1", "v1"));
        start("one", "left", "replaced");
        begin(LONG + "/one", LONG + "/left", LONG + "/replaced");
        assertThat("versions of left", firstVersions(LONG + "/left"), hasItem("v1"));
        startWorkers("left", LONG_AGO_MILLIS, "v2");
        startWorkers("replaced", 0, "v2", "v2");
        leaving.forEach(this::leave);
        fleet.store().discardHistory();
        fleet.fronts().parallelStream().forEach(FrontProcess::kill);
        fleet.fronts().forEach(FrontProcess::start);
        fleet.awaitReady();
        takeUp(fleet.fronts());
        awaitMillis(HISTORY_READ_MILLIS);
        takeUp(fleet.fronts());
        assertNoneMixed();
    }

    /** Guards against a discarded history that is taken for whole because an entry was written after it. */
    @Test
    void streamsAreNotJoinedIfAnEntryWasWrittenAfterTheHistoryWasDiscarded() throws Exception {
        List<StreamWorker> staying = startWorkers("left", LONG_AGO_MILLIS, "v2");
        List<StreamWorker> leaving = startWorkers("left", LONG_AGO_MILLIS, "v1");
        start("left");
        begin(LONG + "/left");
        assertThat("versions of left", firstVersions(LONG + "/left"), hasItem("v1"));
        leaving.forEach(this::leave);
        fleet.store().discardHistory();
        staying.forEach(worker -> fleet.store().put(worker.key(), worker.entry("ready")));
        fleet.fronts().parallelStream().forEach(FrontProcess::kill);
        fleet.fronts().forEach(FrontProcess::start);
        fleet.awaitReady();
        awaitMillis(HISTORY_READ_MILLIS);
        takeUp(fleet.fronts());
        assertNoneMixed();
    }

    /** Guards against fronts that take the time in which they were frozen or cut off for one without other versions. */
    @Test
    void streamsAreNotJoinedAtFrontsThatMissedAVersion() throws Exception {
        startWorkers("one", LONG_AGO_MILLIS, "v1");
        start("one");
        fleet.store().discardHistory();
        FrontProcess frozen = fleet.fronts().get(0);
        FrontProcess cutOff = fleet.fronts().get(1);
        List<FrontProcess> missing = List.of(frozen, cutOff);
        frozen.freeze();
        fleet.store().begin(StoreFault.DOWN, cutOff.ip()::equals);
        List<StreamWorker> passing = startWorkers("one", LONG_AGO_MILLIS, "v2", "v2");
        List<FrontProcess> others =
                fleet.fronts().subList(missing.size(), fleet.fronts().size());
        DeployedFleet.await("streams of v2", () -> {
            beginAt(others, LONG + "/one");
            return firstVersions(LONG + "/one").contains("v2");
        });
        passing.forEach(this::leave);
        others.parallelStream().forEach(FrontProcess::kill);
        frozen.resume();
        takeUp(missing);
        assertNoneMixed();
        fleet.store().endFaults();
        takeUp(missing);
        assertNoneMixed();
    }

    /** Guards against an only version that a front infers from items which are older than the stream. */
    @Test
    void streamsAreNotJoinedAtAFrontThatReadsANewVersionLater() throws Exception {
        startWorkers("one", LONG_AGO_MILLIS, "v1", "v1");
        start("one");
        FrontProcess late = fleet.fronts().get(0);
        FrontProcess prompt = fleet.fronts().get(1);
        awaitMillis(PRESUMED_MILLIS);
        fleet.store().begin(StoreFault.SILENT, late.ip()::equals);
        startWorkers("one", LONG_AGO_MILLIS, "v2", "v2");
        BrokenStream begun = begin(prompt, "/" + LONG + "/one/0");
        // Without a pause, as peers name new items within half a second.
        for (int i = 0; i < MAX_BEGUN && !begun.versions().contains("v2"); i++) {
            begun = begin(prompt, "/" + LONG + "/one/0");
        }
        streams.put(LONG + "/one", List.of(begun));
        assertThat("versions of one", firstVersions(LONG + "/one"), hasItem("v2"));
        streams.put(LONG + "/one", List.of(begun.call(late.callerAddress(), nextAttempt(), false)));
        assertNoneMixed();
    }

    /** Guards against versions that are guessed at restarted fronts though another one may remember them. */
    @Test
    void streamsAreNotJoinedWhereOneFrontLives() throws Exception {
        startWorkers("one", LONG_AGO_MILLIS, "v1", "v1");
        startWorkers("both", LONG_AGO_MILLIS, "v1", "v2");
        List<StreamWorker> leaving = startWorkers("left", LONG_AGO_MILLIS, "v1");
        startWorkers("left", LONG_AGO_MILLIS, "v2");
        start("one", "both", "left");
        fleet.store().discardHistory();
        begin(LONG + "/one", LONG + "/both", LONG + "/left");
        leaving.forEach(this::leave);
        List<FrontProcess> killed = fleet.fronts().subList(1, fleet.fronts().size());
        killed.parallelStream().forEach(FrontProcess::kill);
        killed.forEach(FrontProcess::start);
        fleet.awaitReady();
        takeUp(fleet.fronts());
        assertNoneMixed();
        assertThat("went on with one version", wentOn(LONG + "/one"), is((long) STREAMS));
    }

    private List<StreamWorker> startWorkers(String service, long ageMillis, String... versions) {
        List<StreamWorker> started = Arrays.stream(versions)
                .map(version -> new StreamWorker(
                        "i-" + ++startedWorkers,
                        service,
                        version,
                        fleet.ip(FIRST_WORKER + startedWorkers),
                        System.currentTimeMillis() - ageMillis))
                .toList();
        for (StreamWorker worker : started) {
            worker.start();
            workers.add(worker);
            fleet.store().put(worker.key(), worker.entry("ready"));
        }
        return started;
    }

    private void leave(StreamWorker worker) {
        fleet.store().put(worker.key(), worker.entry("draining"));
        remove(worker);
    }

    private void remove(StreamWorker worker) {
        fleet.store().remove(worker.key());
        worker.stop();
        workers.remove(worker);
    }

    private void start(String... services) {
        String routes = Arrays.stream(services)
                .map(service ->
                        route(LONG, service, LONG_TIMEOUT_MILLIS) + "," + route(SHORT, service, SHORT_TIMEOUT_MILLIS))
                .collect(Collectors.joining(","));
        fleet.store()
                .put(
                        "op/config",
                        "{\"version\":1,\"routes\":[" + routes + "],\"services\":["
                                + Arrays.stream(services)
                                        .map(service -> "{\"name\":\"" + service + "\",\"health-path\":\"/healthz\"}")
                                        .collect(Collectors.joining(","))
                                + "],\"limits\":{},\"tenants\":[]}");
        fleet.start();
        fleet.awaitReady();
    }

    private static String route(String span, String service, int timeoutMillis) {
        return "{\"name\":\"" + span + "-" + service + "\",\"host\":\"h\",\"prefix\":\"/" + span + "/" + service
                + "/\",\"kind\":\"streaming\",\"resumable\":true,\"gap-target-ms\":300,\"timeout-ms\":" + timeoutMillis
                + ",\"slo-ms\":300,\"service\":\"" + service + "\",\"attempts\":1,\"public\":true}";
    }

    /** Begins streams on each route at all fronts, whose workers break them off. */
    private void begin(String... routes) {
        Arrays.stream(routes).forEach(route -> beginAt(fleet.fronts(), route));
    }

    private void beginAt(List<FrontProcess> fronts, String route) {
        List<BrokenStream> begun = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            begun.add(begin(fronts.get(i % fronts.size()), "/" + route + "/" + i));
        }
        streams.put(route, begun);
        assertThat(
                "events of " + route,
                begun.stream().map(stream -> stream.versions().size()).toList(),
                everyItem(is(StreamWorker.EVENTS_BEFORE_BREAK)));
    }

    /** Begins a stream, with further attempts until one brings an event. */
    private BrokenStream begin(FrontProcess front, String path) {
        AtomicReference<BrokenStream> stream = new AtomicReference<>(BrokenStream.nothing(path));
        DeployedFleet.await("first event of " + path, () -> {
            stream.updateAndGet(nothing -> nothing.call(front.callerAddress(), nextAttempt(), false));
            return !stream.get().versions().isEmpty();
        });
        return stream.get();
    }

    private List<String> firstVersions(String route) {
        return streams.get(route).stream()
                .map(stream -> stream.versions().get(0))
                .toList();
    }

    private String nextAttempt() {
        attempts++;
        return String.format("%016x", attempts);
    }

    private static void awaitMillis(long millis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        DeployedFleet.await("time", () -> System.nanoTime() > endNanos);
    }

    /** Takes all streams up again that are not complete; half of the attempts name the one before. */
    private void takeUp(List<FrontProcess> fronts) {
        for (List<BrokenStream> begun : streams.values()) {
            for (int i = 0; i < begun.size(); i++) {
                if (!begun.get(i).complete()) {
                    FrontProcess front = fronts.get((i + attempts) % fronts.size());
                    begun.set(i, begun.get(i).call(front.callerAddress(), nextAttempt(), i % 2 == 0));
                }
            }
        }
    }

    private long wentOn(String route) {
        return streams.get(route).stream().filter(BrokenStream::wentOn).count();
    }

    private void assertNoneMixed() {
        Map<String, Long> mixed = counts(BrokenStream::mixed);
        assertThat("mixed " + mixed + ", went on " + counts(BrokenStream::wentOn), mixed.values(), everyItem(is(0L)));
    }

    private Map<String, Long> counts(Predicate<BrokenStream> condition) {
        return streams.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey,
                        entry -> entry.getValue().stream().filter(condition).count()));
    }
}
