package org.whinwharf.wire.peer.internal;

import org.whinwharf.wire.schema.PeerLimits;

/**
 * Limits of links, with defaults filled in.
 *
 * @param maxFrameBytes maximum frame size, without the length prefix
 * @param maxQueuedFrames maximum number of frames queued on one link
 * @param heartbeatIntervalMillis interval between heartbeats
 * @param idleTimeoutMillis time without a received frame after which a link is closed
 * @param maxConnections maximum number of open connections
 * @param initialReconnectDelayMillis upper bound of the first delay before reconnecting
 * @param maxReconnectDelayMillis upper bound of every such delay
 */
public record LinkLimits(
        int maxFrameBytes,
        int maxQueuedFrames,
        long heartbeatIntervalMillis,
        long idleTimeoutMillis,
        int maxConnections,
        long initialReconnectDelayMillis,
        long maxReconnectDelayMillis) {
    private static final int DEFAULT_MAX_FRAME_BYTES = 4_194_304;
    private static final int DEFAULT_MAX_QUEUED_FRAMES = 4_096;
    private static final long DEFAULT_HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 2_500;
    private static final int DEFAULT_MAX_CONNECTIONS = 2_048;
    private static final long DEFAULT_INITIAL_RECONNECT_DELAY_MILLIS = 200;
    private static final long DEFAULT_MAX_RECONNECT_DELAY_MILLIS = 5_000;

    /**
     * Returns the configured limits, with the defaults of the schema for absent fields.
     *
     * @param limits limits from the settings; 0 stands for an absent field
     * @return limits in which every field is positive
     */
    public static LinkLimits of(PeerLimits limits) {
        return new LinkLimits(
                (int) orElse(limits.getMaxFrameBytes(), DEFAULT_MAX_FRAME_BYTES),
                (int) orElse(limits.getMaxQueuedFrames(), DEFAULT_MAX_QUEUED_FRAMES),
                orElse(limits.getHeartbeatMillis(), DEFAULT_HEARTBEAT_INTERVAL_MILLIS),
                orElse(limits.getIdleMillis(), DEFAULT_IDLE_TIMEOUT_MILLIS),
                (int) orElse(limits.getMaxConnections(), DEFAULT_MAX_CONNECTIONS),
                orElse(limits.getReconnectMillis(), DEFAULT_INITIAL_RECONNECT_DELAY_MILLIS),
                orElse(limits.getMaxReconnectMillis(), DEFAULT_MAX_RECONNECT_DELAY_MILLIS));
    }

    private static long orElse(long value, long defaultValue) {
        return value > 0 ? value : defaultValue;
    }
}
