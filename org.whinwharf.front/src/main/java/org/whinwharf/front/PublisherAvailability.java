package org.whinwharf.front;

import org.whinwharf.wire.fleet.ItemsAnswer;

/**
 * Tracks how long the publishing service has been readable, as observed by this process and its peers.
 *
 * <p>Entries expire during an outage of the service and are published again after its recovery. An entry that is
 * removed long after a recovery has not expired: a process that had been partitioned took every removal for an expiry,
 * and sent requests to a departed target for two seconds longer. A process that receives items from peers relies on
 * their observations, since it may be the only one that is partitioned.
 */
final class PublisherAvailability {
    /** Time after an outage during which removed entries may have expired and may be published again. */
    private static final long EXPIRED_ENTRIES_RETURN_MILLIS = 3_000;

    /** Minimum length of an outage in which an entry can expire, if the targets' heartbeat interval is unknown. */
    private static final long DEFAULT_MIN_OUTAGE_MILLIS = 1_000;
    /**
     * The same in heartbeat intervals. An entry expires after three of them, and its last write is one old at most when
     * an outage begins; the rest is a margin for late writes.
     */
    private static final double MIN_OUTAGE_HEARTBEATS = 1.5;

    /** Minimum length of an outage in which an entry can expire; calls that fail for a shorter time are no outage. */
    private final long minOutageMillis;
    /** Monotonic time in milliseconds until which the service is known to have been there. */
    private long aliveAtMillis;
    /** Monotonic time in milliseconds at which a read last failed in an outage that was long enough. */
    private long failedAtMillis = Long.MIN_VALUE / 2;

    private long lastFailureAtMillis;
    private long recoveredAtMillis = Long.MIN_VALUE / 2;
    private boolean readable;
    /** True once a peer reported whether the service is readable; peers of earlier releases do not report it. */
    private boolean peerReported;
    /** Whether the service is readable according to a peer's last answer. */
    private boolean readableByPeer;
    /** Monotonic time in milliseconds since which the service is readable according to that answer. */
    private long readableByPeerSinceMillis;

    /**
     * Creates a record without observations.
     *
     * @param targetHeartbeatMillis time between two writes of a target to its entry; 0 if unknown
     */
    PublisherAvailability(long targetHeartbeatMillis) {
        minOutageMillis = targetHeartbeatMillis == 0
                ? DEFAULT_MIN_OUTAGE_MILLIS
                : (long) (MIN_OUTAGE_HEARTBEATS * targetHeartbeatMillis);
    }

    /**
     * Records that this process failed to read the service.
     *
     * @return true when its previous read succeeded
     */
    boolean readFailed(long nowMillis) {
        lastFailureAtMillis = nowMillis;
        boolean wasReadable = readable;
        readable = false;
        return wasReadable;
    }

    /** Records that the service held a call of this process until now, though it did not answer it. */
    void held(long nowMillis) {
        aliveAtMillis = nowMillis;
    }

    /**
     * Records that this process read the service.
     *
     * @param askedAtMillis monotonic time in milliseconds from which the service held the call
     * @return true when its previous read failed or there was none
     */
    boolean readSucceeded(long nowMillis, long askedAtMillis) {
        boolean wasReadable = readable;
        if (!wasReadable && askedAtMillis - aliveAtMillis >= minOutageMillis) {
            failedAtMillis = lastFailureAtMillis;
            recoveredAtMillis = askedAtMillis;
        }
        readable = true;
        aliveAtMillis = nowMillis;
        return !wasReadable;
    }

    /** Records the availability that a peer reports in an answer with items. */
    void peerReported(ItemsAnswer answer, long nowMillis) {
        if (answer.hasReadableMillis()) {
            peerReported = true;
            readableByPeer = answer.getReadableMillis() > 0;
            readableByPeerSinceMillis = nowMillis - answer.getReadableMillis();
        }
    }

    /** Tells whether this process's last read of the service succeeded. */
    boolean readable() {
        return readable;
    }

    /**
     * Returns how long the service has been readable.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param watching true while this process itself watches the service
     * @return time in milliseconds; 0 while the service is not readable, {@link Long#MAX_VALUE} when there was no
     *     outage or it ended long ago
     */
    long readableForMillis(long nowMillis, boolean watching) {
        if (peerReported && !watching) {
            return readableByPeer ? unboundedIfLong(nowMillis - readableByPeerSinceMillis) : 0;
        }
        boolean outage = !readable && nowMillis - aliveAtMillis >= minOutageMillis;
        if (outage && nowMillis - lastFailureAtMillis < EXPIRED_ENTRIES_RETURN_MILLIS) {
            return 0;
        }
        return nowMillis - failedAtMillis >= EXPIRED_ENTRIES_RETURN_MILLIS
                ? Long.MAX_VALUE
                : nowMillis - recoveredAtMillis;
    }

    private static long unboundedIfLong(long millis) {
        return millis >= EXPIRED_ENTRIES_RETURN_MILLIS ? Long.MAX_VALUE : millis;
    }
}
