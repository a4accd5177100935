package org.whinwharf.platform.fleet;

import java.net.Socket;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** One direction between a worker and a front, in which nothing arrives until it ends. */
final class Silence {
    /** Direction in which nothing arrives. */
    enum Direction {
        TO_FRONT,
        TO_WORKER
    }

    private final Direction direction;
    private final Predicate<Socket> ofFront;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;

    /**
     * Describes a silence that begins.
     *
     * @param ofFront tells whether the front has the other side of a connection
     * @param standing connections that stand
     */
    Silence(Direction direction, Predicate<Socket> ofFront, Collection<Socket> standing) {
        this.direction = direction;
        this.ofFront = ofFront;
        standing.forEach(this::opened);
    }

    /** Takes note of a new connection. */
    void opened(Socket connection) {
        if (!ended && ofFront.test(connection)) {
            connections.add(connection);
        }
    }

    /** Tells whether a connection is silent in a direction. */
    synchronized boolean covers(Socket connection, Direction inDirection) {
        return !ended && direction == inDirection && connections.contains(connection);
    }

    /** Waits until a connection is no longer silent in a direction. */
    synchronized void await(Socket connection, Direction inDirection) throws InterruptedException {
        while (covers(connection, inDirection)) {
            wait();
        }
    }

    /** Ends it and returns the connections that were silent. */
    synchronized Set<Socket> end() {
        ended = true;
        notifyAll();
        return connections;
    }
}
