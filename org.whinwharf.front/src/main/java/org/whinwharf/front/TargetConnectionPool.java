package org.whinwharf.front;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.traffic.target.TargetProcess;

/** Pool of this process's connections to one target, direct and relayed ones. */
final class TargetConnectionPool {
    private final TargetConnector connector;
    private final Target target;
    private final Ticker ticker;
    private final FrontMetrics metrics;
    private final Deque<TargetConnection> idle = new ArrayDeque<>();
    private final Set<TargetConnection> direct = new HashSet<>();
    private final AttemptNaming naming = new AttemptNaming();
    private final LivenessCheck livenessCheck = new LivenessCheck(this);
    /** Whether a second connection is being opened. */
    private boolean openingSecond;
    /** The process that the target's entry names. */
    private TargetProcess process;

    /**
     * Creates an empty pool.
     *
     * @param target the target; its id, address and data centre are used
     * @param process the process that the target's entry names
     */
    TargetConnectionPool(
            TargetConnector connector, Target target, TargetProcess process, Ticker ticker, FrontMetrics metrics) {
        this.process = process;
        this.metrics = metrics;
        this.connector = connector;
        this.target = target;
        this.ticker = ticker;
    }

    Target target() {
        return target;
    }

    /** Returns what is known of the responses in which the target names the attempt. */
    AttemptNaming naming() {
        return naming;
    }

    /** Passes an idle or a new connection to the consumer, or the reason why none can be established. */
    void acquire(ConnectionReuse reuse, Consumer<ConnectResult> consumer) {
        TargetConnection connection = pollIdle(reuse);
        if (connection != null) {
            consumer.accept(ConnectResult.connected(connection));
        } else {
            connector.connect(this, true, consumer);
        }
    }

    /**
     * Establishes a new connection for a request that names no attempt, since its answer could not be told from earlier
     * responses over the connection. No peer is asked about a target that seems to be down.
     */
    void acquireForProbe(Consumer<ConnectResult> consumer) {
        connector.connect(this, false, consumer);
    }

    /** Establishes a new connection, and keeps it for later requests; the consumer learns whether and how. */
    void connectAnew(Consumer<ConnectResult> consumer) {
        connector.connect(this, true, result -> {
            result.connection().ifPresent(this::release);
            consumer.accept(result);
        });
    }

    /** Returns an idle connection that can be used; null if there is none. */
    private TargetConnection pollIdle(ConnectionReuse reuse) {
        if (reuse == ConnectionReuse.NONE) {
            return null;
        }
        long nowMillis = ticker.nowMillis();
        while (!idle.isEmpty()) {
            TargetConnection connection = idle.pollLast();
            boolean expired = connection.stale(nowMillis) || !reuse.allows(connection.idleMillis(nowMillis));
            if (connection.usable() && !expired) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Returns a connection to the pool after a complete response. */
    void release(TargetConnection connection) {
        if (connection.establishedAtMillis() < process.publishedAtMillis()) {
            // It may lead to the process before, or to this one while it was not published: neither can be shown.
            connection.close();
            return;
        }
        idle.addLast(connection);
    }

    /** Sets the process that the target's entry names; connections that were established before are not used again. */
    void published(TargetProcess next) {
        if (next != process) {
            process = next;
            closeIdle();
        }
    }

    /** Records that the process at the other end of a connection was there at a time. */
    void servedBy(TargetConnection connection, long atMillis) {
        if (process.serves(connection.establishedAtMillis())) {
            process.servedAt(Math.min(atMillis, connector.polledAtMillis()));
        }
    }

    /** Returns the process that the target's entry names. */
    TargetProcess process() {
        return process;
    }

    /** Records a direct connection that was established. */
    void opened(TargetConnection connection) {
        direct.add(connection);
    }

    /** Removes a closed connection. */
    void closed(TargetConnection connection) {
        idle.remove(connection);
        direct.remove(connection);
    }

    /**
     * Tells whether the target has sent bytes over one direct connection before the given period and after it, so that
     * it can't have crashed meanwhile.
     */
    boolean livedOn(long fromMillis, long toMillis) {
        return direct.stream().anyMatch(connection -> connection.spans(fromMillis, toMillis));
    }

    /**
     * Finds out whether the target lived on after it had ended a connection in order, which is all that tells the end
     * of a response from the end of the target.
     *
     * @param attemptId attempt whose response ended
     */
    void checkLiveness(TargetConnection ended, String attemptId, Consumer<TargetLiveness> consumer) {
        long endedAtMillis = ticker.nowMillis();
        long sinceMillis = Math.min(ended.pausedAtMillis(), Math.min(endedAtMillis, connector.polledAtMillis()));
        // A connection that was opened later may be one to another process.
        List<TargetConnection> others = direct.stream()
                .filter(connection -> connection != ended
                        && connection.openedAtMillis() <= sinceMillis + LivenessCheck.MIN_RESTART_MILLIS)
                .toList();
        livenessCheck.check(ended, sinceMillis, others, liveness -> {
            metrics.undeclaredEnd(liveness);
            FrontLog.responseEndChecked(target, attemptId, liveness, others.size(), ticker.nowMillis() - endedAtMillis);
            consumer.accept(liveness);
        });
    }

    /**
     * Opens another connection beside one whose response declares no end, unless there is one: whether it is still open
     * at that end shows whether the target is.
     */
    void ensureSecondConnection(TargetConnection reading) {
        boolean alone = direct.contains(reading)
                && direct.stream().noneMatch(connection -> connection != reading && connection.open());
        if (alone && !openingSecond) {
            openingSecond = true;
            connectAnew(result -> openingSecond = false);
        }
    }

    /** Runs a task on the event loop after a delay. */
    void schedule(Runnable task, long delayMillis) {
        connector.schedule(task, delayMillis);
    }

    /** Finds out whether the process that accepts connections is the target. */
    void confirmInstance(Consumer<Boolean> consumer) {
        connector.confirmInstance(target, consumer);
    }

    /** Returns the direct connections that neither side has ended. */
    Set<TargetConnection> openDirect() {
        return direct.stream().filter(TargetConnection::open).collect(Collectors.toSet());
    }

    /** Tells whether another process is known to have taken the target's place since the given time. */
    boolean targetReplacedSince(long sinceMillis) {
        return connector.replacedSince(target, sinceMillis);
    }

    /**
     * Closes connections that have been idle for longer than their keep-alive time, and those through a peer that is
     * not used any longer: a peer that stops waits for their end.
     */
    void closeStale() {
        long nowMillis = ticker.nowMillis();
        for (Iterator<TargetConnection> connections = idle.iterator(); connections.hasNext(); ) {
            TargetConnection connection = connections.next();
            if (connection.stale(nowMillis) || !connection.linkUsable()) {
                connections.remove();
                connection.close();
            }
        }
    }

    /** Closes all idle connections. */
    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.pollLast().close();
        }
    }

    /** Records a response that is not known to answer the request of its connection. */
    void responseUnmatched(
            UnmatchedResponse reason, String attemptId, int status, String namedAttemptId, int carriedRequests) {
        metrics.responseUnmatched(reason);
        FrontLog.responseUnmatched(target, reason, attemptId, status, namedAttemptId, carriedRequests);
    }

    long nowMillis() {
        return ticker.nowMillis();
    }
}
