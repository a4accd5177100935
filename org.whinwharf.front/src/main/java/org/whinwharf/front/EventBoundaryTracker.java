package org.whinwharf.front;

import io.netty.buffer.ByteBuf;

/** Finds the boundaries of an event stream's events, which are empty lines, without storing the bytes received. */
final class EventBoundaryTracker {
    /** Length of the longest byte sequence that ends an event. */
    private static final int WINDOW_BYTES = 3;

    /** The last bytes received, the latest in the lowest byte. */
    private int window;

    private boolean empty = true;
    private long bytesSinceBoundary;
    private int events;

    /**
     * Handles the next bytes of the stream; neither consumes nor releases the buffer.
     *
     * @return number of bytes up to the last boundary among them; 0 if there is none
     */
    int append(ByteBuf chunk) {
        if (!chunk.isReadable()) {
            return 0;
        }
        int endBytes = lastBoundary(chunk);
        bytesSinceBoundary =
                endBytes > 0 ? chunk.readableBytes() - endBytes : bytesSinceBoundary + chunk.readableBytes();
        empty = false;
        for (int i = Math.max(chunk.readerIndex(), chunk.writerIndex() - WINDOW_BYTES); i < chunk.writerIndex(); i++) {
            window = window << Byte.SIZE | chunk.getUnsignedByte(i);
        }
        return endBytes;
    }

    /** Counts the events that end in a chunk, and returns the number of bytes up to the end of the last. */
    private int lastBoundary(ByteBuf chunk) {
        int endBytes = 0;
        int index = chunk.indexOf(chunk.readerIndex(), chunk.writerIndex(), (byte) '\n');
        while (index >= 0) {
            int i = index - chunk.readerIndex();
            if (endsEvent(byteAt(chunk, i - 2), byteAt(chunk, i - 1), '\n')) {
                events++;
                endBytes = i + 1;
            }
            index = chunk.indexOf(index + 1, chunk.writerIndex(), (byte) '\n');
        }
        return endBytes;
    }

    /** Returns a byte of a chunk; one before its beginning if the index is negative. */
    private int byteAt(ByteBuf chunk, int index) {
        return index >= 0 ? chunk.getUnsignedByte(chunk.readerIndex() + index) : byteBefore(-1 - index);
    }

    /** Returns the number of bytes since the last boundary, or since the beginning of the stream. */
    long bytesSinceBoundary() {
        return bytesSinceBoundary;
    }

    /** Returns the number of events that have ended, empty ones included. */
    int events() {
        return events;
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
        bytesSinceBoundary = 0;
        events = 0;
        empty = true;
    }

    /** Tells whether the last of three successive bytes ends an empty line. */
    private static boolean endsEvent(int beforePrevious, int previous, int last) {
        return last == '\n' && (previous == '\n' || previous == '\r' && beforePrevious == '\n');
    }

    private int byteBefore(int distance) {
        return window >> distance * Byte.SIZE & 0xFF;
    }
}
