package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.whinwharf.lifecycle.Service;

/** One lifetime of a worker: its entry in the store, its connections, its slots and its faults from a seed. */
final class WorkerStandIn implements Service, AutoCloseable {
    /** Path of health checks. */
    static final String HEALTH_PATH = "/healthz";
    /** Path of reports. */
    static final String REPORT_PATH = "/whinwharf/report";

    private static final int BACKLOG = 128;
    private static final int MAX_QUEUED = 2;
    private static final long MAX_QUEUE_MILLIS = 300;
    private static final long BEAT_MILLIS = 1_200;
    /** Time after the last beat at which an entry lapses. */
    private static final long ENTRY_LIFE_MILLIS = 3 * BEAT_MILLIS;

    private static final String READY = "ready";
    private static final String DRAINING = "draining";

    private final StoreStandIn store;
    private final FleetRecord record;
    private final Identity identity;
    private final InetSocketAddress address;
    private final StreamEnds streamEnds;
    private volatile FaultMix faults;
    private final Random random;
    private final Semaphore slots;
    private final AtomicInteger queued = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final WorkerStatements statements;
    private final long bornMillis;
    /** Events made so far by the runs of streams under way, by the ids of their attempts. */
    private final Map<String, Integer> eventsByAttempt = new ConcurrentHashMap<>();

    private final Object entryLock = new Object();
    /** State in the entry; empty if the worker writes none. */
    private String entryState = "";

    private StoreStandIn.Confirmation lastEntry;
    private int entries;
    private ServerSocket server;
    private Thread acceptor;
    private volatile OptionalLong leavingSinceNanos = OptionalLong.empty();
    private volatile boolean crashed;
    /** Whether it has crashed or was stopped. */
    private volatile boolean ended;

    private volatile Silence silence = new Silence(Silence.Direction.TO_FRONT, socket -> false, Set.of());

    /**
     * What a worker says of itself.
     *
     * @param id its id
     * @param service its service
     * @param zone its zone
     * @param version version of its software
     */
    record Identity(String id, String service, String zone, String version) {}

    /**
     * Describes a worker that is not started.
     *
     * @param streamEnds how it ends streams
     * @param faults its faults at the beginning
     */
    WorkerStandIn(
            StoreStandIn store,
            FleetRecord record,
            Identity identity,
            InetSocketAddress address,
            StreamEnds streamEnds,
            FaultMix faults,
            long seed) {
        this(store, record, identity, address, streamEnds, faults, WorkerStatements.ONE_ENTRY, seed);
    }

    /**
     * Describes a worker that is not started.
     *
     * @param streamEnds how it ends streams
     * @param faults its faults at the beginning
     * @param statements what it says of itself
     */
    WorkerStandIn(
            StoreStandIn store,
            FleetRecord record,
            Identity identity,
            InetSocketAddress address,
            StreamEnds streamEnds,
            FaultMix faults,
            WorkerStatements statements,
            long seed) {
        this.store = store;
        this.record = record;
        this.identity = identity;
        this.address = address;
        this.streamEnds = streamEnds;
        this.faults = faults;
        this.statements = statements;
        slots = new Semaphore(statements.slots(), true);
        bornMillis = System.currentTimeMillis() + statements.skewMillis();
        random = new Random(seed);
    }

    @Override
    public void start() {
        try {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(address, BACKLOG);
        } catch (IOException e) {
            throw new IllegalStateException("cannot listen on " + address, e);
        }
        acceptor = startThread(this::accept);
        record(WorkerEvent.Change.STARTED);
        synchronized (entryLock) {
            entryState = READY;
        }
        if (statements.entryDelayMillis() == 0) {
            beat();
        }
        if (statements.entryDelayMillis() > 0 || statements.beats()) {
            startThread(this::beats);
        }
    }

    private void record(WorkerEvent.Change change) {
        record.add(new WorkerEvent(System.nanoTime(), identity.id(), identity.version(), bornMillis, change));
    }

    /** Writes entries until the worker ends; only the first one if there are no beats. */
    private void beats() {
        try {
            if (statements.entryDelayMillis() > 0) {
                TimeUnit.MILLISECONDS.sleep(statements.entryDelayMillis());
                beat();
            }
            while (statements.beats() && !ended) {
                TimeUnit.MILLISECONDS.sleep(BEAT_MILLIS);
                beat();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the entry, unless the worker has ended or has removed it. */
    private void beat() {
        synchronized (entryLock) {
            if (!ended && !entryState.isEmpty()) {
                publish();
            }
        }
    }

    private void publish() {
        if (entries++ == 0) {
            record(WorkerEvent.Change.PUBLISHED);
        }
        lastEntry = store.put(
                "servers/" + identity.id(),
                "{\"service\":\"" + identity.service() + "\",\"address\":\""
                        + address.getAddress().getHostAddress() + ":" + address.getPort() + "\",\"zone\":\""
                        + identity.zone() + "\",\"version\":\"" + identity.version() + "\",\"slots\":"
                        + statements.slots()
                        + ",\"state\":\"" + entryState + "\",\"cold-left-ms\":0,\"seq\":" + (entries - 1) + ",\"born\":"
                        + bornMillis + "}");
    }

    /** Says that it leaves; it goes on serving until it is stopped. */
    void leave() {
        synchronized (entryLock) {
            entryState = DRAINING;
            publish();
            leavingSinceNanos = OptionalLong.of(lastEntry.atNanos());
        }
    }

    /** Removes its entry without a word before; it goes on serving until it is stopped. */
    void leaveUnannounced() {
        synchronized (entryLock) {
            entryState = "";
            leavingSinceNanos =
                    OptionalLong.of(store.remove("servers/" + identity.id()).atNanos());
        }
    }

    /** Ends at once, in the middle of its answers; the entry stays until it is removed or replaced. */
    void crash(WorkerCrash kind) {
        crashed = true;
        end();
        record(WorkerEvent.Change.CRASHED);
        closeServer();
        try {
            // Until then the system may still accept connections.
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
        connections.stream().filter(this::audible).forEach(kind::end);
    }

    private void end() {
        synchronized (entryLock) {
            ended = true;
        }
    }

    /** Returns the time after which the entry of the worker, which has ended, lapses; empty if it stays. */
    OptionalLong millisToLapse() {
        synchronized (entryLock) {
            return statements.beats() && lastEntry != null
                    ? OptionalLong.of(
                            ENTRY_LIFE_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastEntry.atNanos()))
                    : OptionalLong.empty();
        }
    }

    /** Removes the entry unless another process has written it, or this one has written none. */
    void lapse() {
        synchronized (entryLock) {
            if (lastEntry != null && store.removeUnchanged("servers/" + identity.id(), lastEntry.revision())) {
                record(WorkerEvent.Change.LAPSED);
            }
        }
    }

    /** Writes the entry again after it has lapsed, if it has. */
    void renewEntry() {
        synchronized (entryLock) {
            if (lastEntry != null) {
                beat();
            }
        }
    }

    /** Records that a run has made some events. */
    void runMade(WorkerRun run, int events) {
        eventsByAttempt.put(run.attemptId(), events);
    }

    /** Records that a run has ended. */
    void runEnded(WorkerRun run) {
        eventsByAttempt.remove(run.attemptId());
    }

    /** Returns a report; empty if the worker gives none. */
    Optional<String> report() {
        if (!statements.reports()) {
            return Optional.empty();
        }
        String runs = eventsByAttempt.entrySet().stream()
                .map(run -> "[\"" + run.getKey() + "\",0," + run.getValue() + ",0]")
                .collect(Collectors.joining(","));
        return Optional.of("{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":" + queued.get()
                + ",\"active\":" + (statements.slots() - slots.availablePermits())
                + ",\"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"state\":\""
                + (leavingSinceNanos.isPresent() ? DRAINING : READY) + "\",\"runs\":[" + runs + "],\"born\":"
                + bornMillis
                + "}");
    }

    /** Removes the entry. */
    void removeEntry() {
        store.remove("servers/" + identity.id());
    }

    /** Ends the connections after their requests. */
    @Override
    public void stop() {
        end();
        record(WorkerEvent.Change.STOPPED);
        closeServer();
        connections.stream().filter(this::audible).forEach(WorkerStandIn::reset);
    }

    /** Begins a silence instead of one before, in which the ends of its connections do not arrive either. */
    void begin(Silence.Direction direction, Predicate<Socket> ofFront) {
        endSilence();
        silence = new Silence(direction, ofFront, connections);
    }

    /** Ends the silence; where the worker has ended meanwhile, the connections do so now. Returns their number. */
    int endSilence() {
        Set<Socket> silent = silence.end();
        if (ended) {
            silent.forEach(WorkerStandIn::reset);
        }
        return silent.size();
    }

    private boolean audible(Socket connection) {
        return !silence.covers(connection, Silence.Direction.TO_FRONT);
    }

    /** Tells whether a connection is silent in a direction. */
    boolean silent(Socket connection, Silence.Direction direction) {
        return silence.covers(connection, direction);
    }

    /** Waits until a connection is no longer silent in a direction; fails if the worker has ended by then. */
    void awaitSound(Socket connection, Silence.Direction direction) throws IOException {
        if (!silence.covers(connection, direction)) {
            return;
        }
        try {
            silence.await(connection, direction);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        if (ended) {
            throw new IOException("the worker has ended");
        }
    }

    @Override
    public void close() {
        stop();
    }

    Identity identity() {
        return identity;
    }

    FleetRecord record() {
        return record;
    }

    OptionalLong leavingSinceNanos() {
        return leavingSinceNanos;
    }

    boolean crashed() {
        return crashed;
    }

    boolean ended() {
        return ended;
    }

    /** Draws a fault, or none. */
    WorkerFault drawFault() {
        synchronized (random) {
            return faults.drawFault(random);
        }
    }

    /** Draws whether a stream ends with its connection. */
    boolean drawUndeclared() {
        return draw(streamEnds.undeclaredInterval()) == 0;
    }

    /** Draws whether a stream ends early; nothing is drawn where none does. */
    boolean drawEarlyEnd() {
        synchronized (random) {
            return streamEnds.earlyEndProbability() > 0 && random.nextDouble() < streamEnds.earlyEndProbability();
        }
    }

    /** Draws whether a rejection bears the id of the attempt, unless all do. */
    boolean drawNamed() {
        return statements.namesRejections() || draw(2) != 0;
    }

    /** Draws whether a request is rejected though there is a slot. */
    boolean drawRejection() {
        synchronized (random) {
            return faults.drawRejection(random);
        }
    }

    /** Changes its faults. */
    void setFaults(FaultMix mix) {
        faults = mix;
    }

    /** Draws a number below a bound. */
    int draw(int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }

    /** Waits for a slot in the short queue; returns false if the queue is full or the slot does not come in time. */
    boolean takeSlot() throws IOException {
        if (slots.tryAcquire()) {
            return true;
        }
        if (queued.incrementAndGet() > MAX_QUEUED) {
            queued.decrementAndGet();
            return false;
        }
        try {
            return slots.tryAcquire(MAX_QUEUE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } finally {
            queued.decrementAndGet();
        }
    }

    void releaseSlot() {
        slots.release();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException e) {
                // Closed, by which the loop ends.
                continue;
            }
        }
    }

    private void serve(Socket socket) {
        silence.opened(socket);
        try (socket) {
            new WorkerConnection(this, socket).serve();
            awaitSound(socket, Silence.Direction.TO_FRONT);
        } catch (IOException e) {
            // The connection was closed by the front or by a fault; the run that it ended has its record.
            return;
        } finally {
            connections.remove(socket);
        }
    }

    private Thread startThread(Runnable action) {
        Thread thread = new Thread(action, identity.id());
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void closeServer() {
        try {
            server.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Closes a connection by a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed by the other side before.
            return;
        }
    }
}
