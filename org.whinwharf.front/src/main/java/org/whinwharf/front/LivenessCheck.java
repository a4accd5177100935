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
 */
final class LivenessCheck {
    /**
     * An end that is not explained yet.
     *
     * @param ended the connection
     * @param others connections that stood at that time
     * @param consumer receives the result
     */
    private record PendingEnd(
            TargetConnection ended, List<TargetConnection> others, Consumer<TargetLiveness> consumer) {}

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
     * @param others other direct connections to the target that are open
     */
    void check(TargetConnection ended, List<TargetConnection> others, Consumer<TargetLiveness> consumer) {
        waiting.add(new PendingEnd(ended, others, consumer));
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
            Set<TargetConnection> open = pool.openDirect();
            ends.forEach(end -> end.consumer().accept(liveness(end, result.status(), open)));
            if (!waiting.isEmpty() && !connecting) {
                connect();
            }
        });
    }

    private TargetLiveness liveness(PendingEnd end, ConnectResult.Status status, Set<TargetConnection> open) {
        if (pool.targetReplacedSince(end.ended().openedAtMillis())) {
            return TargetLiveness.REPLACED;
        }
        if (status == ConnectResult.Status.CONNECTED) {
            return TargetLiveness.ACCEPTS;
        }
        if (end.others().stream().anyMatch(open::contains)) {
            return TargetLiveness.KEEPS_CONNECTIONS;
        }
        return status == ConnectResult.Status.UNREACHABLE ? TargetLiveness.UNREACHABLE : TargetLiveness.UNKNOWN;
    }
}
