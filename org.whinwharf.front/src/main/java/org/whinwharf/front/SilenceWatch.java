package org.whinwharf.front;

/** Notices that a target which got a request says nothing. */
final class SilenceWatch {
    /** Silence before a first byte after which a repeatable request goes elsewhere, in objectives. */
    private static final int SILENCE_OBJECTIVE_FACTOR = 4;
    /** The same in predicted times to the first event, which tell of long prompts ahead at a slow engine. */
    private static final double SILENCE_PREDICTION_FACTOR = 4;
    /** Shortest such silence; below it a short queue at a sound target would count as silence. */
    private static final long MIN_FIRST_BYTE_TIMEOUT_MILLIS = 600;
    /** Silence within a stream after which it is resumed elsewhere; callers abandon it at two seconds. */
    private static final long STREAM_SILENCE_TIMEOUT_MILLIS = 1_200;

    private final long firstByteTimeoutMillis;
    private long lastByteAtMillis;
    private boolean targetReported;

    /**
     * Begins to watch.
     *
     * @param objectiveMillis latency objective of the request
     * @param predictedMillis predicted time to its first event
     * @param nowMillis steady time in milliseconds at which it is sent
     */
    SilenceWatch(long objectiveMillis, double predictedMillis, long nowMillis) {
        long byObjective = Math.max(MIN_FIRST_BYTE_TIMEOUT_MILLIS, SILENCE_OBJECTIVE_FACTOR * objectiveMillis);
        firstByteTimeoutMillis = Math.max(byObjective, Math.round(SILENCE_PREDICTION_FACTOR * predictedMillis));
        lastByteAtMillis = nowMillis;
    }

    /** Notes that bytes of the answer came. */
    void bytesReceived(long nowMillis) {
        lastByteAtMillis = nowMillis;
    }

    /** Returns when bytes last came; when it was sent, if none did. */
    long lastByteAtMillis() {
        return lastByteAtMillis;
    }

    /**
     * Tells whether the target has just been silent for too long, towards this request and all others of this process.
     * Only once: a target that is sound again would be ejected anew as long as this request hangs there.
     */
    boolean targetBecameSilent(TargetEntry entry, boolean streamBegun, long nowMillis) {
        long spokeAtMillis = Math.max(lastByteAtMillis, entry.lastByteAtMillis());
        if (targetReported || nowMillis - spokeAtMillis <= timeoutMillis(streamBegun)) {
            return false;
        }
        targetReported = true;
        return true;
    }

    /** Tells whether nothing has come for this request for too long. */
    boolean requestStalled(boolean streamBegun, long nowMillis) {
        return nowMillis - lastByteAtMillis > timeoutMillis(streamBegun);
    }

    private long timeoutMillis(boolean streamBegun) {
        return streamBegun ? STREAM_SILENCE_TIMEOUT_MILLIS : firstByteTimeoutMillis;
    }
}
