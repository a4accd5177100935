package org.whinwharf.front;

/** Detects that a target sends no bytes, or no further bytes, of the response to a request. */
final class SilenceWatch {
    /** Time to the first byte after which another target is sought for an idempotent request, in latency objectives. */
    private static final int SILENCE_OBJECTIVE_FACTOR = 4;
    /** The same in predicted times to the first event, which account for long prompts ahead at a slow engine. */
    private static final double SILENCE_PREDICTION_FACTOR = 4;
    /** Lower bound of this timeout; below it, a short queue at a healthy target would count as silence. */
    private static final long MIN_FIRST_BYTE_TIMEOUT_MILLIS = 600;
    /** Silence within a stream after which another target is sought for it; callers abandon it after two seconds. */
    private static final long STREAM_SILENCE_TIMEOUT_MILLIS = 1_200;

    /**
     * Time before the silence timeout at which the path to the target is checked; an attempt to connect takes as long.
     */
    private static final long CHECK_LEAD_MILLIS = 400;

    private final long firstByteTimeoutMillis;
    private long lastByteAtMillis;
    private boolean targetChecked;
    private boolean targetReported;
    private boolean silent;

    /**
     * Starts watching a request.
     *
     * @param objectiveMillis latency objective of the request in milliseconds
     * @param predictedMillis predicted time to its first event in milliseconds
     * @param nowMillis monotonic time in milliseconds at which the request is sent
     */
    SilenceWatch(long objectiveMillis, double predictedMillis, long nowMillis) {
        long byObjective = Math.max(MIN_FIRST_BYTE_TIMEOUT_MILLIS, SILENCE_OBJECTIVE_FACTOR * objectiveMillis);
        firstByteTimeoutMillis = Math.max(byObjective, Math.round(SILENCE_PREDICTION_FACTOR * predictedMillis));
        lastByteAtMillis = nowMillis;
    }

    /** Records that bytes of the response were received. */
    void bytesReceived(long nowMillis) {
        lastByteAtMillis = nowMillis;
        silent = false;
    }

    /** Records that the request counts as stalled; returns false if it already did. */
    boolean beginSilence() {
        boolean begins = !silent;
        silent = true;
        return begins;
    }

    /** Tells whether the request has counted as stalled since the last received bytes. */
    boolean silent() {
        return silent;
    }

    /** Returns the time of the last received bytes, or of sending the request if there are none. */
    long lastByteAtMillis() {
        return lastByteAtMillis;
    }

    /**
     * Tells whether the target will soon have been silent for too long, so that it is known by then whether it can be
     * reached. Returns true only once.
     */
    boolean targetNeedsCheck(TargetEntry entry, boolean streamStarted, long nowMillis) {
        if (targetChecked
                || targetSilenceMillis(entry, nowMillis) <= timeoutMillis(streamStarted) - CHECK_LEAD_MILLIS) {
            return false;
        }
        targetChecked = true;
        return true;
    }

    /** Returns the time since the last bytes of the target, for this request and all others of this process. */
    private long targetSilenceMillis(TargetEntry entry, long nowMillis) {
        return nowMillis - Math.max(lastByteAtMillis, entry.lastByteAtMillis());
    }

    /** Tells whether the target has sent nothing for a while, for this request and all others of this process. */
    boolean targetQuiet(TargetEntry entry, long nowMillis) {
        return targetSilenceMillis(entry, nowMillis) > MIN_FIRST_BYTE_TIMEOUT_MILLIS;
    }

    /**
     * Tells whether the target has become silent for too long, for this request and all others of this process. Returns
     * true only once: otherwise a target that has recovered would be ejected again for as long as this request hangs
     * there.
     */
    boolean targetBecameSilent(TargetEntry entry, boolean streamStarted, long nowMillis) {
        if (targetReported || targetSilenceMillis(entry, nowMillis) <= timeoutMillis(streamStarted)) {
            return false;
        }
        targetReported = true;
        return true;
    }

    /** Tells whether nothing was received for this request for too long. */
    boolean requestStalled(boolean streamStarted, long nowMillis) {
        return nowMillis - lastByteAtMillis > timeoutMillis(streamStarted);
    }

    private long timeoutMillis(boolean streamStarted) {
        return streamStarted ? STREAM_SILENCE_TIMEOUT_MILLIS : firstByteTimeoutMillis;
    }
}
