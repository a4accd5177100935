package org.whinwharf.front;

/** Which idle connections to a target may carry a request. */
enum ConnectionReuse {
    /** Any that the target has not closed. */
    ANY(Long.MAX_VALUE),
    /** Recently used ones, for a request that must not be lost when the target closes the connection. */
    RECENT(1_000),
    /** None, for a request whose response is decoded differently from second copies of earlier ones. */
    NONE(-1);

    private final long maxIdleMillis;

    ConnectionReuse(long maxIdleMillis) {
        this.maxIdleMillis = maxIdleMillis;
    }

    /** Tells whether a connection with the given idle time may carry the request. */
    boolean allows(long idleMillis) {
        return idleMillis <= maxIdleMillis;
    }
}
