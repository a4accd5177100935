package org.whinwharf.front;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.whinwharf.traffic.catalog.CallerLimits;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.ImmutableRoute;
import org.whinwharf.traffic.catalog.ImmutableTargetService;
import org.whinwharf.traffic.catalog.Route;
import org.whinwharf.traffic.catalog.RouteKind;
import org.whinwharf.traffic.catalog.ServiceWeight;
import org.whinwharf.traffic.policy.Policy;
import org.whinwharf.traffic.target.ImmutableTarget;
import org.whinwharf.wire.fleet.RelayOpen;

/** One front process with fake targets, on its own loopback address. */
final class FrontFixture implements AutoCloseable {
    private static final AtomicInteger NEXT_ADDRESS = new AtomicInteger(1);
    private static final int CALLER_PORT = 18_211;
    static final int PEER_PORT = 18_212;
    private static final int METRICS_PORT = 18_213;
    private static final int RELAY_PORT = 18_214;
    private static final long TIMEOUT_SECONDS = 20;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final long SERVICE_ANSWERS_MILLIS = 3_000;

    /** Part of the loopback address, so that concurrent test runs do not share one: process ids are unique. */
    private static final long PID = ProcessHandle.current().pid();

    /**
     * Number of addresses that differ in their last part only; a test run that needs more goes on with another block.
     */
    private static final int ADDRESS_BLOCK = 250;

    private final String ip = nextIp();
    private final ImmutableFrontSettings settings;
    private final Front front;
    private final List<FakeTarget> targets = new ArrayList<>();
    private volatile boolean killed;

    FrontFixture() {
        this(List.of());
    }

    private static String nextIp() {
        int index = NEXT_ADDRESS.getAndIncrement();
        long block = index < ADDRESS_BLOCK ? 1 + PID / 250 % 250 : 250 + index / ADDRESS_BLOCK;
        return "127." + block + "." + (1 + PID % 250) + "." + (1 + index % ADDRESS_BLOCK);
    }

    /** Starts a front that discovers its fleet from the given seed addresses. */
    FrontFixture(List<String> seedIps) {
        this(seedIps, 120);
    }

    /** Starts a front with seed addresses and the given timeout for coordinators that do not reply. */
    FrontFixture(List<String> seedIps, long coordinatorTimeoutMillis) {
        this(seedIps, coordinatorTimeoutMillis, true);
    }

    /** Starts a front of a fleet that starts with it, or that has run before. */
    FrontFixture(List<String> seedIps, long coordinatorTimeoutMillis, boolean freshFleet) {
        this(seedIps, coordinatorTimeoutMillis, freshFleet, FleetLimits.DEFAULT);
    }

    /** Starts a front of a fleet with the given limits of retries. */
    FrontFixture(List<String> seedIps, long coordinatorTimeoutMillis, boolean freshFleet, FleetLimits limits) {
        this(seedIps, coordinatorTimeoutMillis, freshFleet, limits, new TestDialect());
    }

    /** Starts a front that uses the given dialect. */
    FrontFixture(
            List<String> seedIps,
            long coordinatorTimeoutMillis,
            boolean freshFleet,
            FleetLimits limits,
            TestDialect dialect) {
        this(seedIps, coordinatorTimeoutMillis, freshFleet, limits, dialect, Policy.ALL_ENABLED);
    }

    /** Starts a front with the given policy. */
    FrontFixture(
            List<String> seedIps,
            long coordinatorTimeoutMillis,
            boolean freshFleet,
            FleetLimits limits,
            TestDialect dialect,
            Policy policy) {
        settings = ImmutableFrontSettings.builder()
                .coordinatorTimeoutMillis(coordinatorTimeoutMillis)
                .name("front-" + ip)
                .ip(ip)
                .dataCentre("zilina-a")
                .callerAddress(ip + ":" + CALLER_PORT)
                .peerPort(PEER_PORT)
                .seedIps(seedIps)
                .freshFleet(freshFleet)
                .retryRatio(limits.retryRatio())
                .retryAllowance(limits.retryAllowance())
                .retryWindowMillis(10_000)
                .stopGraceMillis(8_000)
                .metricsPort(METRICS_PORT)
                .relayPort(RELAY_PORT)
                .policy(policy)
                .build();
        front = new Front(settings, dialect, callerPort(ip));
        front.start();
        run(() -> front.itemConfirmation().readBy(this::readItems));
    }

    /** Stands for a publishing service that answers for a while after the test has applied an answer of it. */
    private void readItems(Consumer<Boolean> result) {
        ItemFeed feed = front.feed();
        boolean answers = feed.revision() > 0 && feed.ageMillis() < SERVICE_ANSWERS_MILLIS;
        if (answers) {
            feed.applyRead(List.of(), feed.revision(), front.nowMillis());
        }
        result.accept(answers);
    }

    private static CallerPort callerPort(String ip) {
        try {
            return CallerPort.open(ip + ":" + CALLER_PORT);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Front front() {
        return front;
    }

    String ip() {
        return ip;
    }

    /** Starts a target and publishes it. */
    FakeTarget target(String id, FakeTarget.Script script) throws IOException {
        FakeTarget target = new FakeTarget(ip, script);
        targets.add(target);
        publish(id, ip, target.port(), 8);
        return target;
    }

    /** Publishes a target that is already running. */
    void publish(String id, String targetIp, int port, int slots) {
        publish(id, targetIp, port, slots, 1);
    }

    /** Publishes a target that has started at the given time; another time than before shows that it has restarted. */
    void publish(String id, String targetIp, int port, int slots, long startedUnixMillis) {
        publish(id, targetIp, port, slots, startedUnixMillis, 0);
    }

    /** Publishes a target that is cold for the given time. */
    void publish(String id, String targetIp, int port, int slots, long startedUnixMillis, long coldRemainingMillis) {
        publish(id, targetIp, port, slots, startedUnixMillis, coldRemainingMillis, "v1");
    }

    /** Publishes a target whose software has the given version. */
    void publish(
            String id,
            String targetIp,
            int port,
            int slots,
            long startedUnixMillis,
            long coldRemainingMillis,
            String version) {
        publish(id, targetIp, port, slots, startedUnixMillis, coldRemainingMillis, version, "service");
    }

    /** Publishes a target of another service. */
    void publish(
            String id,
            String targetIp,
            int port,
            int slots,
            long startedUnixMillis,
            long coldRemainingMillis,
            String version,
            String service) {
        run(() -> front.publish(
                ImmutableTarget.builder()
                        .id(id)
                        .version(version)
                        .service(service)
                        .ip(targetIp)
                        .port(port)
                        .dataCentre("zilina-a")
                        .slots(slots)
                        .draining(false)
                        .coldRemainingMillis(coldRemainingMillis)
                        .startedUnixMillis(startedUnixMillis)
                        .build(),
                false));
    }

    /** Publishes routes of all kinds and waits until the front is ready. */
    void publishCatalog(int attempts, long timeoutMillis) {
        publishCatalog(attempts, timeoutMillis, false);
    }

    /** Publishes routes of all kinds to a service whose targets are engines or not. */
    void publishCatalog(int attempts, long timeoutMillis, boolean engine) {
        publishCatalog(attempts, timeoutMillis, engine, 200);
    }

    /** Publishes routes of all kinds with the given latency objective, from which queue timeouts are derived. */
    void publishCatalog(int attempts, long timeoutMillis, boolean engine, long objectiveMillis) {
        publishCatalog(1, "service", attempts, timeoutMillis, engine, objectiveMillis);
        awaitReady();
    }

    private void awaitReady() {
        while (!front.ready()) {
            Thread.onSpinWait();
        }
    }

    /** Publishes routes to engines that take a number of requests a second while they are cold. */
    void publishColdEngines(FleetLimits limits, double coldRequestsPerSecond) {
        publishCatalog(
                1,
                "service",
                limits.attempts(),
                limits.timeoutMillis(),
                true,
                limits.objectiveMillis(),
                coldRequestsPerSecond);
        awaitReady();
    }

    /** Publishes a later catalog whose routes differ from those before in their version only. */
    void republishCatalog(long catalogVersion, FleetLimits limits, boolean engine) {
        publishCatalog(
                catalogVersion, "service", limits.attempts(), limits.timeoutMillis(), engine, limits.objectiveMillis());
    }

    /** Publishes a later catalog whose routes lead to another service, with one attempt each. */
    void publishCatalogOf(String service, long catalogVersion) {
        publishCatalog(catalogVersion, service, 1, 5_000, false, 500);
    }

    private void publishCatalog(
            long catalogVersion,
            String service,
            int attempts,
            long timeoutMillis,
            boolean engine,
            long objectiveMillis) {
        publishCatalog(catalogVersion, service, attempts, timeoutMillis, engine, objectiveMillis, 0);
    }

    private void publishCatalog(
            long catalogVersion,
            String service,
            int attempts,
            long timeoutMillis,
            boolean engine,
            long objectiveMillis,
            double coldRequestsPerSecond) {
        List<Route> routes = List.of(
                route(service, "/safe/", RouteKind.SAFE, attempts, timeoutMillis, objectiveMillis, false),
                route(service, "/unsafe/", RouteKind.UNSAFE, attempts, timeoutMillis, objectiveMillis, false),
                route(service, "/stream/", RouteKind.STREAMING, attempts, timeoutMillis, objectiveMillis, false),
                route(service, "/resumable/", RouteKind.STREAMING, attempts, timeoutMillis, objectiveMillis, true));
        run(() -> front.publish(new Catalog(
                catalogVersion,
                CallerLimits.DEFAULT,
                routes,
                List.of(ImmutableTargetService.builder()
                        .name(service)
                        .healthPath("/health")
                        .maxConnections(10)
                        .coldStartMillis(0)
                        .coldRequestsPerSecond(coldRequestsPerSecond)
                        .engine(engine)
                        .build()),
                List.of())));
    }

    private static Route route(
            String service,
            String prefix,
            RouteKind kind,
            int attempts,
            long timeoutMillis,
            long objectiveMillis,
            boolean resumable) {
        return ImmutableRoute.builder()
                .name(prefix)
                .hostName("h")
                .pathPrefix(prefix)
                .kind(kind)
                .addServices(new ServiceWeight(service, 1))
                .timeoutMillis(timeoutMillis)
                .latencyObjectiveMillis(objectiveMillis)
                .tierRank(0)
                .maxAttempts(attempts)
                .publicAccess(true)
                .resumable(resumable)
                .gapObjectiveMillis(200)
                .build();
    }

    /** Puts settings into force that differ in the limits of retries. */
    void reload(double retryRatio, double retryAllowance) {
        run(() -> front.reload(settings.withRetryRatio(retryRatio).withRetryAllowance(retryAllowance)));
    }

    /** Puts settings into force that differ in the time that a planned stop may take. */
    void reload(long stopGraceMillis) {
        run(() -> front.reload(settings.withStopGraceMillis(stopGraceMillis)));
    }

    /** Returns the sum of a counter over all its tags. */
    double counter(String name) {
        return front.metrics()
                .scrape()
                .lines()
                .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Opens a connection to the metrics port. */
    Socket connectToMetrics() throws IOException {
        Socket socket = new Socket(ip, METRICS_PORT);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Opens a connection to the caller port. */
    Socket connect() throws IOException {
        Socket socket = new Socket(ip, CALLER_PORT);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Asks this front, as a peer does, for a connection to a target. */
    Socket openRelay(String targetId) throws IOException {
        Socket socket = new Socket(ip, RELAY_PORT);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        byte[] open = RelayOpen.newBuilder()
                .setFrom("peer")
                .setTarget(targetId)
                .build()
                .toByteArray();
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(1 + open.length);
        out.writeByte(RelayFrame.OPEN.ordinal());
        out.write(open);
        return socket;
    }

    /** Sends text unchanged and returns everything received until the connection ends. */
    String exchange(String text) throws IOException {
        try (Socket socket = connect()) {
            FakeTarget.write(socket, text);
            return readAll(socket);
        }
    }

    static String request(String method, String path, String attempt, boolean close) {
        return request(method, path, attempt, close, "");
    }

    /** Returns a request on a connection of its own, with the given parts of its prompt if there are any. */
    static String request(String method, String path, String attempt, String prompt) {
        return request(method, path, attempt, true, prompt);
    }

    /** Returns a request with the given parts of its prompt if there are any. */
    static String request(String method, String path, String attempt, boolean close, String prompt) {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\nAttempt: " + attempt + "\r\n"
                + (prompt.isEmpty() ? "" : "Prompt: " + prompt + "\r\n")
                + (method.equals("POST") ? "Content-Length: 0\r\n" : "")
                + (close ? "Connection: close\r\n" : "") + "\r\n";
    }

    static String readAll(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[4_096];
        try {
            int count = in.read(buffer);
            while (count >= 0) {
                text.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
                count = in.read(buffer);
            }
        } catch (SocketException e) {
            text.append("[reset]");
        }
        return text.toString();
    }

    /** Reads until the text contains the expected end. */
    static String readUntil(Socket socket, String end) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int next = in.read();
            if (next < 0) {
                return text + "[end]";
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Returns the number of fronts whose addresses this front gives to callers. */
    int advertisedFronts() {
        int[] count = new int[1];
        run(() -> count[0] = front.callerAddresses(64).size());
        return count[0];
    }

    /** Waits in a target's script until the test releases the latch. */
    static void awaitLatch(CountDownLatch latch) throws IOException {
        try {
            if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("not released in time");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Waits until a condition holds; fails after a timeout. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat("in time", System.nanoTime() < endNanos, is(true));
            Thread.sleep(20);
        }
    }

    /** Returns the current entry of a target. */
    TargetEntry entry(String targetId) {
        return front.entry(targetId);
    }

    /** Tells whether a request that holds an entry may be sent to it. */
    boolean mayReceive(TargetEntry entry) {
        AtomicBoolean answer = new AtomicBoolean();
        run(() -> answer.set(front.mayReceive(entry)));
        return answer.get();
    }

    void run(Runnable action) {
        try {
            front.loop().submit(action).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Blocks the front's only thread until the returned latch is counted down. */
    CountDownLatch blockThread() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        front.loop().execute(() -> {
            blocked.countDown();
            try {
                awaitLatch(unblock);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        blocked.await();
        return unblock;
    }

    /**
     * Tells whether the front was killed. The test's own process keeps a connection that it was about to accept open.
     */
    boolean killed() {
        return killed;
    }

    /** Stops the front's event loop at once, as a killed process does, without notifying its peers. */
    void kill() {
        killed = true;
        front.loop().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    @Override
    public void close() throws IOException {
        for (FakeTarget target : targets) {
            target.close();
        }
        front.loop().shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }
}
