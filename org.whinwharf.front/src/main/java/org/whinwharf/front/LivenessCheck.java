package org.whinwharf.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Finds out whether a target lived on after it had ended a connection.
 *
 * <p>A process that is killed has its connections closed in order by its system, just as one does that has written a
 * response without a declared end. Only what the target does next tells them apart: one that lives on accepts a new
 * connection, which takes the place of the one that it ended, or at least keeps those that it had.
 *
 * <p>A connection that is accepted late, or after all others have ended, may lead to the process after it. The target
 * then has to identify itself in a health check.
 */
final class LivenessCheck {
    /**
     * An end that is not explained yet.
     *
     * @param ended the connection
     * @param sinceMillis time since which the target may have ended it; earlier than the time at which this was noticed
     * @param others connections that stood at that time, and still did when the end was noticed
     * @param consumer receives the result
     */
    private record PendingEnd(
            TargetConnection ended,
            long sinceMillis,
            List<TargetConnection> others,
            Consumer<TargetLiveness> consumer) {
        boolean keepsAny(Set<TargetConnection> open) {
            return others.stream().anyMatch(open::contains);
        }
    }

    /** Minimum time in which another process can listen in the place of one that has ended. */
    static final long MIN_RESTART_MILLIS = 100;
    /**
     * Time in which all connections of a process that has ended are seen to end. Its system closes them one after the
     * other, and the port before or between them.
     */
    private static final long ENDING_MILLIS = 50;

    private final TargetConnectionPool pool;
    /** Ends since the latest attempt to connect began, about which it says nothing. */
    private List<PendingEnd> waiting = new ArrayList<>();

    private boolean connecting;

    LivenessCheck(TargetConnectionPool pool) {
        this.pool = pool;
    }

    /**
     * Checks the target after it has ended a connection in order.
     *
     * @param sinceMillis time since which the target may have ended it
     * @param others other direct connections to the target that are open
     */
    void check(
            TargetConnection ended,
            long sinceMillis,
            List<TargetConnection> others,
            Consumer<TargetLiveness> consumer) {
        waiting.add(new PendingEnd(ended, sinceMillis, others, consumer));
        if (!connecting) {
            connect();
        }
    }

    private void connect() {
        List<PendingEnd> ends = waiting;
        waiting = new ArrayList<>();
        connecting = true;
        pool.connectAnew(result -> {
            connecting = false;
            connectionTried(ends, result.status());
            if (!waiting.isEmpty() && !connecting) {
                connect();
            }
        });
    }

    private void connectionTried(List<PendingEnd> ends, ConnectResult.Status status) {
        Set<TargetConnection> open = pool.openDirect();
        for (PendingEnd end : ends) {
            if (status != ConnectResult.Status.CONNECTED && end.keepsAny(open)) {
                // The target listens no more: it goes on with these connections, or they are about to end.
                pool.schedule(() -> conclude(end, status, pool.openDirect()), ENDING_MILLIS);
            } else {
                conclude(end, status, open);
            }
        }
    }

    private TargetLiveness resultOfInstanceCheck(PendingEnd end, boolean answered) {
        if (pool.targetReplacedSince(end.ended().openedAtMillis())) {
            return TargetLiveness.REPLACED;
        }
        return answered ? TargetLiveness.ANSWERS : TargetLiveness.UNKNOWN;
    }

    private void conclude(PendingEnd end, ConnectResult.Status status, Set<TargetConnection> open) {
        boolean connected = status == ConnectResult.Status.CONNECTED;
        boolean prompt = pool.nowMillis() - end.sinceMillis() < MIN_RESTART_MILLIS;
        if (pool.targetReplacedSince(end.ended().openedAtMillis())) {
            end.consumer().accept(TargetLiveness.REPLACED);
        } else if (end.keepsAny(open)) {
            end.consumer().accept(TargetLiveness.KEEPS_CONNECTIONS);
        } else if (connected && prompt && end.others().isEmpty()) {
            end.consumer().accept(TargetLiveness.ACCEPTS);
        } else if (connected) {
            pool.confirmInstance(answered -> end.consumer().accept(resultOfInstanceCheck(end, answered)));
        } else {
            end.consumer()
                    .accept(
                            status == ConnectResult.Status.UNREACHABLE
                                    ? TargetLiveness.UNREACHABLE
                                    : TargetLiveness.UNKNOWN);
        }
    }
}
