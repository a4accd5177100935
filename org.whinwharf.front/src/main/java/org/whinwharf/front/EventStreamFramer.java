package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts an event stream at whole events, so that it can go on at another target after a break.
 *
 * <p>A target may stop in the middle of an event. If the half event were passed on, the caller would read two runs
 * joined into one event; so a piece is held back until the empty line that ends its event.
 */
final class EventStreamFramer {
    private static final String ID_FIELD = "id:";

    private ByteBuf partialEvent = Unpooled.EMPTY_BUFFER;
    private Optional<String> lastEventId = Optional.empty();

    /** Takes a piece and returns the whole events that are ready to go; the result is the caller's to release. */
    ByteBuf append(ByteBuf piece) {
        ByteBuf all = partialEvent.isReadable() ? Unpooled.wrappedBuffer(partialEvent, piece) : piece;
        int end = lastEventEnd(all);
        if (end == all.readableBytes()) {
            updateLastEventId(all);
            partialEvent = Unpooled.EMPTY_BUFFER;
            return all;
        }
        if (end < 0) {
            partialEvent = all;
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf whole = all.readRetainedSlice(end);
        updateLastEventId(whole);
        partialEvent = all.readBytes(all.readableBytes());
        all.release();
        return whole;
    }

    /** Returns the id of the last whole event that was passed on. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Tells whether half an event is held back. */
    boolean hasPartialEvent() {
        return partialEvent.isReadable();
    }

    /** Drops half an event that was held back. */
    void discardPartialEvent() {
        partialEvent.release();
        partialEvent = Unpooled.EMPTY_BUFFER;
    }

    private static int lastEventEnd(ByteBuf all) {
        int start = all.readerIndex();
        for (int i = all.writerIndex() - 1; i > start; i--) {
            if (all.getByte(i) != '\n') {
                continue;
            }
            byte before = all.getByte(i - 1);
            boolean blank = before == '\n' || before == '\r' && i - 2 >= start && all.getByte(i - 2) == '\n';
            if (blank) {
                return i + 1 - start;
            }
        }
        return -1;
    }

    private void updateLastEventId(ByteBuf whole) {
        String text = whole.toString(StandardCharsets.UTF_8);
        int lineBreak = text.lastIndexOf("\n" + ID_FIELD);
        if (lineBreak < 0 && !text.startsWith(ID_FIELD)) {
            return;
        }
        int at = lineBreak + 1;
        int end = text.indexOf('\n', at);
        lastEventId = Optional.of(text.substring(at + ID_FIELD.length(), end < 0 ? text.length() : end)
                .trim());
    }
}
