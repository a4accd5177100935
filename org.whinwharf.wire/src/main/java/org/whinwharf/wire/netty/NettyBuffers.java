package org.whinwharf.wire.netty;

/** Configures the buffer allocator that Netty uses in this process. */
public final class NettyBuffers {
    private static final String ALLOCATOR = "io.netty.allocator.type";
    private static final String POOLED = "pooled";

    private NettyBuffers() {}

    /**
     * Selects Netty's pooled allocator, unless the system property on the command line selects another. Has no effect
     * once Netty has allocated a buffer, so a program calls it first.
     *
     * <p>With Netty's default, the adaptive allocator, processes with several network threads overwrote or freed
     * buffers that were still being sent. Responses are then incomplete, stall, or are cut off together with their
     * connection, and the log shows {@code IllegalReferenceCountException}.
     */
    public static void usePooledAllocator() {
        if (System.getProperty(ALLOCATOR) == null) {
            System.setProperty(ALLOCATOR, POOLED);
        }
    }
}
