package org.whinwharf.traffic.catalog;

/** What a route's requests are, and so how often they may run. */
public enum RouteKind {
    /** Idempotent request with one whole answer. */
    SAFE {
        @Override
        public boolean idempotent(boolean resumable) {
            return true;
        }
    },
    /** Request that may run at most once. */
    UNSAFE {
        @Override
        public boolean idempotent(boolean resumable) {
            return false;
        }
    },
    /** Request answered by an event stream; it may run again only where a stream can be resumed. */
    STREAMING {
        @Override
        public boolean idempotent(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request may be sent to a second target after it may have run at a first.
     *
     * @param resumable true when the route's streams can be resumed
     * @return true when a second run is allowed
     */
    public abstract boolean idempotent(boolean resumable);
}
