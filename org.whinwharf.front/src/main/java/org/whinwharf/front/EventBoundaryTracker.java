package org.whinwharf.front;

import io.netty.buffer.ByteBuf;

/**
 * Tells whether the bytes received of an event stream end at an event boundary, an empty line, without storing them.
 */
final class EventBoundaryTracker {
    /** Length of the longest byte sequence that ends an event. */
    private static final int WINDOW_BYTES = 3;

    /** The last bytes received, the latest in the lowest byte. */
    private int window;

    private boolean empty = true;

    /** Handles the next bytes of the stream; neither consumes nor releases the buffer. */
    void append(ByteBuf chunk) {
        if (!chunk.isReadable()) {
            return;
        }
        empty = false;
        for (int i = Math.max(chunk.readerIndex(), chunk.writerIndex() - WINDOW_BYTES); i < chunk.writerIndex(); i++) {
            window = window << Byte.SIZE | chunk.getUnsignedByte(i);
        }
    }

    /** Tells whether the stream ends at an event boundary; true before the first byte. */
    boolean atBoundary() {
        return empty || (window & 0xFF) == '\n' && (previous(1) == '\n' || previous(1) == '\r' && previous(2) == '\n');
    }

    /** Tells whether no byte was received. */
    boolean isEmpty() {
        return empty;
    }

    /** Starts a new stream. */
    void reset() {
        window = 0;
        empty = true;
    }

    private int previous(int bytes) {
        return window >> bytes * Byte.SIZE & 0xFF;
    }
}
