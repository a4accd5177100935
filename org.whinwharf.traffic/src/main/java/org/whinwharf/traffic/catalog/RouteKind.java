package org.whinwharf.traffic.catalog;

/** Kind of a route's requests; determines whether a request may be executed more than once. */
public enum RouteKind {
    /** Idempotent request with a single complete answer. */
    SAFE {
        @Override
        public boolean idempotent(boolean resumable) {
            return true;
        }
    },
    /** Request that must be executed at most once. */
    UNSAFE {
        @Override
        public boolean idempotent(boolean resumable) {
            return false;
        }
    },
    /** Request answered by an event stream; it may be executed again only if the stream can be resumed. */
    STREAMING {
        @Override
        public boolean idempotent(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Returns whether a request may be dispatched to a second target after it may have been executed on the first.
     *
     * @param resumable true when the route's streams can be resumed
     * @return true when a second execution is allowed
     */
    public abstract boolean idempotent(boolean resumable);
}
