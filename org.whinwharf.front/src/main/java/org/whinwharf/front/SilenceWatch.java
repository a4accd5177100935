package org.whinwharf.front;

/** Notices that a target which got a request says nothing. */
final class SilenceWatch {
    /** Silence before a first byte after which a repeatable request goes elsewhere, in objectives. */
    private static final int SILENT_OBJECTIVES = 4;
    /** The same in predicted times to the first event, which tell of long prompts ahead at a slow engine. */
    private static final double SILENT_PREDICTIONS = 4;
    /** Shortest such silence; below it a short queue at a sound target would count as silence. */
    private static final long SHORTEST_SILENCE_MILLIS = 600;
    /** Silence within a stream after which it is resumed elsewhere; callers abandon it at two seconds. */
    private static final long STREAM_SILENCE_MILLIS = 1_200;

    private final long firstByteLimitMillis;
    private long lastByteAtMillis;
    private boolean noted;

    /**
     * Begins to watch.
     *
     * @param objectiveMillis latency objective of the request
     * @param predictedMillis predicted time to its first event
     * @param nowMillis steady time in milliseconds at which it is sent
     */
    SilenceWatch(long objectiveMillis, double predictedMillis, long nowMillis) {
        long byObjective = Math.max(SHORTEST_SILENCE_MILLIS, SILENT_OBJECTIVES * objectiveMillis);
        firstByteLimitMillis = Math.max(byObjective, Math.round(SILENT_PREDICTIONS * predictedMillis));
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
        if (noted || nowMillis - spokeAtMillis <= limitMillis(streamBegun)) {
            return false;
        }
        noted = true;
        return true;
    }

    /** Tells whether nothing has come for this request for too long. */
    boolean requestStalled(boolean streamBegun, long nowMillis) {
        return nowMillis - lastByteAtMillis > limitMillis(streamBegun);
    }

    private long limitMillis(boolean streamBegun) {
        return streamBegun ? STREAM_SILENCE_MILLIS : firstByteLimitMillis;
    }
}
