package org.whinwharf.front;

import java.util.Optional;

/**
 * Outcome of acquiring a connection to a target.
 *
 * @param status whether there is a connection, or why not
 * @param connection the connection; empty unless connected
 */
record ConnectResult(Status status, Optional<TargetConnection> connection) {
    /** Whether a target could be reached. */
    enum Status {
        /** A connection stands. */
        CONNECTED,
        /** A process that reaches other targets cannot reach this one, and nobody is known who can. */
        UNREACHABLE,
        /** This process cannot reach the target, which says nothing about the target, and no peer could relay. */
        NO_PATH
    }

    static ConnectResult connected(TargetConnection connection) {
        return new ConnectResult(Status.CONNECTED, Optional.of(connection));
    }

    static ConnectResult failed(Status status) {
        return new ConnectResult(status, Optional.empty());
    }
}
