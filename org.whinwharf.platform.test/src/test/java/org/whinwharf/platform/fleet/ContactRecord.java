package org.whinwharf.platform.fleet;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Records when fronts and the store were impaired, and tells who was in touch by the rules. */
final class ContactRecord {
    /** Time without impairment after which a front is in touch, and the store stable. */
    static final long CONTACT_MILLIS = 3_000;
    /** Time by which an unstable store that still answers extends a bound. */
    static final long OUTER_MILLIS = 5_000;
    /** Bound of whom no bound holds. */
    static final long UNBOUND = Long.MAX_VALUE;

    /** What is impaired. */
    enum Part {
        /** A front does not run, or was just started. */
        FRONT,
        /** The store refuses calls or closes channels, but answers. */
        STORE_UNSTABLE,
        /** The store is down or slow, or loses answers. */
        STORE_LOST
    }

    /** One impairment, until it is ended. */
    static final class Span {
        private final Part part;
        private final int front;
        private final long fromNanos = System.nanoTime();
        private volatile long toNanos = Long.MAX_VALUE;

        private Span(Part part, int front) {
            this.part = part;
            this.front = front;
        }

        /** Ends the impairment now. */
        void end() {
            toNanos = System.nanoTime();
        }

        private boolean overlaps(long otherFromNanos, long otherToNanos) {
            return toNanos >= otherFromNanos && fromNanos <= otherToNanos;
        }
    }

    private final List<Span> spans = new CopyOnWriteArrayList<>();

    /** Begins an impairment of a front. */
    Span frontImpaired(int front) {
        return add(new Span(Part.FRONT, front));
    }

    /** Begins an impairment of the store. */
    Span storeImpaired(Part part) {
        return add(new Span(part, -1));
    }

    private Span add(Span span) {
        spans.add(span);
        return span;
    }

    /** Tells whether the front ran without impairment for long enough before a time, and until another one. */
    boolean ran(int front, long fromNanos, long toNanos) {
        long sinceNanos = fromNanos - TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
        return spans.stream()
                .noneMatch(
                        span -> span.part == Part.FRONT && span.front == front && span.overlaps(sinceNanos, toNanos));
    }

    /** Tells whether the store was stable from one time to another. */
    boolean stable(long fromNanos, long toNanos) {
        long sinceNanos = fromNanos - TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
        return spans.stream().noneMatch(span -> span.part != Part.FRONT && span.overlaps(sinceNanos, toNanos));
    }

    /**
     * Returns the bound within which a front must have applied a change, for what it does in a span of time.
     *
     * @param boundMillis bound while the store is stable
     * @return extended bound, or {@link #UNBOUND}
     */
    long boundMillis(int front, long fromNanos, long toNanos, long boundMillis) {
        if (!ran(front, fromNanos, toNanos)) {
            return UNBOUND;
        }
        if (stable(fromNanos, toNanos)) {
            return boundMillis;
        }
        long extendedMillis = boundMillis + OUTER_MILLIS;
        long sinceNanos = fromNanos - TimeUnit.MILLISECONDS.toNanos(extendedMillis + CONTACT_MILLIS);
        boolean lost =
                spans.stream().anyMatch(span -> span.part == Part.STORE_LOST && span.overlaps(sinceNanos, toNanos));
        return lost ? UNBOUND : extendedMillis;
    }
}
