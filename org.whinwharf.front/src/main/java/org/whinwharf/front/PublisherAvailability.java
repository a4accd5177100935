package org.whinwharf.front;

import org.whinwharf.wire.fleet.ItemsAnswer;

/**
 * For how long the publishing service has been readable, as this process and its peers saw it.
 *
 * <p>Entries lapse while the service is away and come back after its return. What was removed long after that did not
 * lapse: a process that had been cut off took each removal for a lapse, and sent requests to a target that had left for
 * two seconds more. One that hears from peers goes by what they saw, since it may be cut off alone.
 */
final class PublisherAvailability {
    /** Time after an outage in which removals may be those of entries that will come back. */
    private static final long EXPIRED_ENTRIES_RETURN_MILLIS = 3_000;

    private long failedAtMillis = Long.MIN_VALUE / 2;
    private long recoveredAtMillis = Long.MIN_VALUE / 2;
    private boolean readable;
    /** True once a peer said whether the service could be read; those of earlier releases do not. */
    private boolean peerReported;
    /** Whether it could, by the last answer. */
    private boolean readableByPeer;
    /** Steady time since which it could. */
    private long readableByPeerSinceMillis;

    /**
     * Takes that this process could not read the service.
     *
     * @return true when it could before
     */
    boolean readFailed(long nowMillis) {
        failedAtMillis = nowMillis;
        boolean readBefore = readable;
        readable = false;
        return readBefore;
    }

    /**
     * Takes that this process read the service.
     *
     * @return true when it could not before
     */
    boolean readSucceeded(long nowMillis) {
        if (readable) {
            return false;
        }
        readable = true;
        recoveredAtMillis = nowMillis;
        return true;
    }

    /** Takes what a peer said with its items. */
    void peerReported(ItemsAnswer answer, long nowMillis) {
        if (answer.hasReadableMillis()) {
            peerReported = true;
            readableByPeer = answer.getReadableMillis() > 0;
            readableByPeerSinceMillis = nowMillis - answer.getReadableMillis();
        }
    }

    /** Tells whether this process could read the service when it last tried. */
    boolean readable() {
        return readable;
    }

    /**
     * Returns for how long the service has been readable.
     *
     * @param nowMillis steady time in milliseconds
     * @param watching true while this process sees the service itself
     * @return milliseconds; 0 while it is not, {@link Long#MAX_VALUE} when it always was, or that is long ago
     */
    long readableForMillis(long nowMillis, boolean watching) {
        if (peerReported && !watching) {
            return readableByPeer ? unboundedIfLong(nowMillis - readableByPeerSinceMillis) : 0;
        }
        if (nowMillis - failedAtMillis >= EXPIRED_ENTRIES_RETURN_MILLIS) {
            return Long.MAX_VALUE;
        }
        return readable ? nowMillis - recoveredAtMillis : 0;
    }

    private static long unboundedIfLong(long millis) {
        return millis >= EXPIRED_ENTRIES_RETURN_MILLIS ? Long.MAX_VALUE : millis;
    }
}
