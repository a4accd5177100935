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
        return empty || endsEvent(byteBefore(2), byteBefore(1), byteBefore(0));
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

    /** Tells whether the last of three successive bytes ends an empty line. */
    static boolean endsEvent(int beforePrevious, int previous, int last) {
        return last == '\n' && (previous == '\n' || previous == '\r' && beforePrevious == '\n');
    }

    private int byteBefore(int distance) {
        return window >> distance * Byte.SIZE & 0xFF;
    }
}
