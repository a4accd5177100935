package org.whinwharf.wire.peer.internal;

import org.whinwharf.wire.schema.PeerLimits;

/**
 * Limits of links with nothing left open.
 *
 * @param maxFrameBytes largest frame, without its length prefix
 * @param maxQueuedFrames most frames that wait to be written to one link
 * @param heartbeatIntervalMillis time between two heartbeats
 * @param idleTimeoutMillis longest silence of the other side
 * @param maxConnections most open connections
 * @param initialReconnectDelayMillis first wait before another attempt to connect
 * @param maxReconnectDelayMillis longest such wait
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
     * Fills in the fallbacks of the schema.
     *
     * @param limits limits as settings give them; 0 stands for an absent field
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

    private static long orElse(long value, long fallback) {
        return value > 0 ? value : fallback;
    }
}
