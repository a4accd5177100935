package org.whinwharf.wire.peer.internal;

import org.whinwharf.wire.schema.PeerLimits;

/**
 * Limits of links with nothing left open.
 *
 * @param maxFrameBytes largest frame, without its length prefix
 * @param maxQueuedFrames most frames that wait to be written to one link
 * @param heartbeatMillis time between two heartbeats
 * @param idleMillis longest silence of the other side
 * @param maxConnections most open connections
 * @param reconnectMillis first wait before another attempt to connect
 * @param maxReconnectMillis longest such wait
 */
public record LinkLimits(
        int maxFrameBytes,
        int maxQueuedFrames,
        long heartbeatMillis,
        long idleMillis,
        int maxConnections,
        long reconnectMillis,
        long maxReconnectMillis) {
    private static final int MAX_FRAME_BYTES = 4_194_304;
    private static final int MAX_QUEUED_FRAMES = 4_096;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long IDLE_MILLIS = 2_500;
    private static final int MAX_CONNECTIONS = 2_048;
    private static final long RECONNECT_MILLIS = 200;
    private static final long MAX_RECONNECT_MILLIS = 5_000;

    /**
     * Fills in the fallbacks of the schema.
     *
     * @param limits limits as settings give them; 0 stands for an absent field
     * @return limits in which every field is positive
     */
    public static LinkLimits of(PeerLimits limits) {
        return new LinkLimits(
                (int) orElse(limits.getMaxFrameBytes(), MAX_FRAME_BYTES),
                (int) orElse(limits.getMaxQueuedFrames(), MAX_QUEUED_FRAMES),
                orElse(limits.getHeartbeatMillis(), HEARTBEAT_MILLIS),
                orElse(limits.getIdleMillis(), IDLE_MILLIS),
                (int) orElse(limits.getMaxConnections(), MAX_CONNECTIONS),
                orElse(limits.getReconnectMillis(), RECONNECT_MILLIS),
                orElse(limits.getMaxReconnectMillis(), MAX_RECONNECT_MILLIS));
    }

    private static long orElse(long value, long fallback) {
        return value > 0 ? value : fallback;
    }
}
