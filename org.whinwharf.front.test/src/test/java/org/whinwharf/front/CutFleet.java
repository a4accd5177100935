package org.whinwharf.front;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntPredicate;
import org.whinwharf.traffic.policy.Policy;

/** Several fronts before common targets, which each front reaches over paths of its own that can be cut. */
final class CutFleet implements AutoCloseable {
    private final List<FrontFixture> fronts = new CopyOnWriteArrayList<>();
    private final List<FakeTarget> targets = new ArrayList<>();
    private final boolean engine;
    private final FleetLimits limits;
    /** Software version of each target, by the target's index. */
    private final List<String> versions;
    /** Links of each front, by the front's index. */
    private final List<List<CutLink>> links = new CopyOnWriteArrayList<>();

    /**
     * Starts a fleet and waits until its fronts know each other.
     *
     * @param script behaviour of all targets
     */
    CutFleet(int frontCount, int targetCount, boolean engine, FakeTarget.Script script) throws Exception {
        this(frontCount, Collections.nCopies(targetCount, "v1"), engine, 3, script);
    }

    /**
     * Starts a fleet whose targets have the given software versions.
     *
     * @param attempts maximum number of targets to which the fleet's routes send one attempt
     */
    CutFleet(int frontCount, List<String> versions, boolean engine, int attempts, FakeTarget.Script script)
            throws Exception {
        this(frontCount, versions, engine, FleetLimits.DEFAULT.withAttempts(attempts), script);
    }

    /** Starts a fleet with the given limits. */
    CutFleet(int frontCount, List<String> versions, boolean engine, FleetLimits limits, FakeTarget.Script script)
            throws Exception {
        this.engine = engine;
        this.limits = limits;
        this.versions = new CopyOnWriteArrayList<>(versions);
        for (int i = 0; i < versions.size(); i++) {
            targets.add(new FakeTarget("127.0.0.1", script));
        }
        for (int i = 0; i < frontCount; i++) {
            addFront();
        }
        awaitFleet();
    }

    /** Starts a further front, waits until it is ready and the others know it, and returns its index. */
    int startFront() throws Exception {
        addFront();
        awaitFleet();
        return fronts.size() - 1;
    }

    /** Starts a further front that finds the fleet through the given one, and returns it without waiting for it. */
    FrontFixture startFrontBeside(int seed) throws IOException {
        FrontFixture front = addFront(new FrontFixture(List.of(fronts.get(seed).ip()), 120, false, limits));
        publishCatalog(front);
        return front;
    }

    /** Starts a further front with another policy, waits until the others know it, and returns its index. */
    int startFront(Policy policy) throws Exception {
        addFront(new FrontFixture(List.of(fronts.get(0).ip()), 120, false, limits, new TestDialect(), policy));
        awaitFleet();
        return fronts.size() - 1;
    }

    private void addFront() throws IOException {
        List<String> seeds =
                fronts.isEmpty() ? List.of() : List.of(fronts.get(0).ip());
        addFront(new FrontFixture(seeds, 120, true, limits));
    }

    private void publishCatalog(FrontFixture front) {
        front.publishCatalog(limits.attempts(), limits.timeoutMillis(), engine, limits.objectiveMillis());
    }

    /** Publishes at all fronts a later catalog with the same routes. */
    void republishCatalog(long catalogVersion) {
        fronts.forEach(front -> front.republishCatalog(catalogVersion, limits, engine));
    }

    /**
     * Kills all fronts, and starts as many that know nothing but the published targets that are given.
     *
     * @param published tells by a target's index whether it is still published
     */
    List<FrontFixture> restartAllFronts(IntPredicate published) throws IOException {
        fronts.forEach(FrontFixture::kill);
        List<FrontFixture> restarted = new ArrayList<>();
        for (int i = fronts.size(); i > 0; i--) {
            List<String> seeds = restarted.stream().map(FrontFixture::ip).toList();
            FrontFixture front = addFront(new FrontFixture(seeds, 120, false, limits), published);
            publishCatalog(front);
            front.run(() -> front.front().feed().applySnapshot(List.of(), 1));
            restarted.add(front);
        }
        return restarted;
    }

    private FrontFixture addFront(FrontFixture front) throws IOException {
        return addFront(front, target -> true);
    }

    private FrontFixture addFront(FrontFixture front, IntPredicate published) throws IOException {
        fronts.add(front);
        List<CutLink> ofFront = new ArrayList<>();
        links.add(ofFront);
        for (int j = 0; j < targets.size(); j++) {
            CutLink link = new CutLink(front.ip(), "127.0.0.1", targets.get(j).port());
            ofFront.add(link);
            if (published.test(j)) {
                front.publish("t" + j, front.ip(), link.port(), 8, 1, 0, versions.get(j));
            }
        }
        return front;
    }

    private void awaitFleet() throws InterruptedException {
        fronts.forEach(this::publishCatalog);
        for (FrontFixture front : fronts) {
            FrontFixture.await(() -> front.advertisedFronts() == fronts.size());
        }
    }

    /** Returns the number of fronts, killed ones included. */
    int size() {
        return fronts.size();
    }

    FrontFixture front(int index) {
        return fronts.get(index);
    }

    List<FakeTarget> targets() {
        return targets;
    }

    /** Returns the paths of one front to all targets. */
    List<CutLink> links(int front) {
        return links.get(front);
    }

    /** Returns the paths of all fronts to one target. */
    List<CutLink> linksTo(int target) {
        return links.stream().map(ofFront -> ofFront.get(target)).toList();
    }

    /** Publishes at all fronts that a target is cold for the given time. */
    void publishCold(int target, long coldRemainingMillis) {
        for (int i = 0; i < fronts.size(); i++) {
            FrontFixture front = fronts.get(i);
            int port = links.get(i).get(target).port();
            front.publish("t" + target, front.ip(), port, 8, 1, coldRemainingMillis);
        }
    }

    /** Returns the software version of a target. */
    String version(int target) {
        return versions.get(target);
    }

    /** Returns the index of the target that a connection leads to. */
    int targetOf(Socket accepted) {
        return targetListeningOn(accepted.getLocalPort());
    }

    /** Returns the index of the target that listens on a port. */
    int targetListeningOn(int port) {
        for (int i = 0; i < targets.size(); i++) {
            if (targets.get(i).port() == port) {
                return i;
            }
        }
        throw new IllegalArgumentException("no target listens on port " + port);
    }

    /** Lets a target run another software version from now on, without publishing it. */
    void setVersion(int target, String version) {
        versions.set(target, version);
    }

    /** Removes a target's published entry at all fronts. */
    void publishRemoval(int target) {
        for (FrontFixture front : fronts) {
            if (!front.killed()) {
                front.run(() ->
                        front.front().removeTarget("t" + target, front.front().nowMillis()));
            }
        }
    }

    /** Publishes at all fronts that a target has restarted, with its current software version. */
    void publishRestart(int target) {
        long startedUnixMillis = System.currentTimeMillis();
        for (int i = 0; i < fronts.size(); i++) {
            FrontFixture front = fronts.get(i);
            if (!front.killed()) {
                int port = links.get(i).get(target).port();
                front.publish("t" + target, front.ip(), port, 8, startedUnixMillis, 0, versions.get(target));
            }
        }
    }

    /** Returns the index of the front that coordinates the service. */
    int coordinator() {
        for (int i = 0; i < fronts.size(); i++) {
            FrontFixture front = fronts.get(i);
            boolean[] local = new boolean[1];
            front.run(() -> local[0] = front.front().coordination().isLocalCoordinator("service"));
            if (local[0]) {
                return i;
            }
        }
        throw new IllegalStateException("no coordinator");
    }

    /** Cuts all paths of a front at once. */
    void cut(int front, CutLink.Cut cut) throws Exception {
        List<CutLink> ofFront = links.get(front);
        ExecutorService cutters = Executors.newFixedThreadPool(ofFront.size());
        try {
            List<Callable<Void>> tasks = new ArrayList<>();
            for (CutLink link : ofFront) {
                tasks.add(() -> {
                    link.cut(cut);
                    return null;
                });
            }
            for (Future<Void> done : cutters.invokeAll(tasks)) {
                done.get();
            }
        } finally {
            cutters.shutdownNow();
        }
    }

    void heal(int front) throws IOException {
        for (CutLink link : links.get(front)) {
            link.heal();
        }
    }

    /** Returns the sum of a counter over all fronts. */
    double counter(String name) {
        return fronts.stream()
                .flatMap(front -> front.front().metrics().scrape().lines())
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .sum();
    }

    /** Sends requests to a front until the given time has passed, and returns all responses. */
    List<String> requestsFor(int front, String method, String path, long millis) throws IOException {
        List<String> responses = new ArrayList<>();
        long endNanos = System.nanoTime() + millis * 1_000_000;
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            String attempt = "f" + front + "n" + i + "at" + System.nanoTime();
            responses.add(fronts.get(front).exchange(FrontFixture.request(method, path, attempt, true)));
        }
        return responses;
    }

    /** Does the same at all fronts at once; returns the responses of each front, by its index. */
    List<List<String>> requestsToAllFor(String method, String path, long millis) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(fronts.size());
        try {
            List<Callable<List<String>>> tasks = new ArrayList<>();
            for (int i = 0; i < fronts.size(); i++) {
                int front = i;
                tasks.add(() -> requestsFor(front, method, path, millis));
            }
            List<List<String>> responses = new ArrayList<>();
            for (Future<List<String>> done : callers.invokeAll(tasks)) {
                responses.add(done.get());
            }
            return responses;
        } finally {
            callers.shutdownNow();
        }
    }

    @Override
    public void close() throws IOException {
        for (List<CutLink> ofFront : links) {
            for (CutLink link : ofFront) {
                link.close();
            }
        }
        for (FrontFixture front : fronts) {
            front.close();
        }
        for (FakeTarget target : targets) {
            target.close();
        }
    }
}
