package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Splits an event stream at event boundaries, so that another target can resume it after a failure.
 *
 * <p>A target may fail in the middle of an event. If the partial event were forwarded, the caller would read parts of
 * two runs as one event. The framer therefore holds data back until the empty line that ends its event.
 */
final class EventStreamFramer {
    private static final String ID_FIELD = "id:";
    private static final String RETRY_FIELD = "retry";
    private static final char COMMENT = ':';

    private ByteBuf partialEvent = Unpooled.EMPTY_BUFFER;
    private Optional<String> lastEventId = Optional.empty();
    /** Whether an event without an id has followed the last one that bears one. */
    private boolean eventsBehindLastId;

    /**
     * Appends a chunk and returns the complete events received so far; the caller of the method releases the result.
     *
     * @param endBytes number of the chunk's bytes up to the last event boundary among them; 0 if there is none
     */
    ByteBuf append(ByteBuf chunk, int endBytes) {
        if (endBytes == 0) {
            hold(chunk);
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf end = chunk.readRetainedSlice(endBytes);
        ByteBuf completeEvents = partialEvent.isReadable() ? Unpooled.wrappedBuffer(partialEvent, end) : end;
        partialEvent = Unpooled.EMPTY_BUFFER;
        hold(chunk);
        updateLastEventId(completeEvents);
        return completeEvents;
    }

    private void hold(ByteBuf chunk) {
        if (chunk.isReadable()) {
            if (!partialEvent.isReadable()) {
                partialEvent = Unpooled.buffer(chunk.readableBytes());
            }
            partialEvent.writeBytes(chunk);
        }
        chunk.release();
    }

    /** Returns the last id among the complete events returned so far; empty before the first. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /**
     * Returns whether the last id stands for all complete events returned so far. Behind an event without an id no
     * target can go on: one that is asked for what follows the last id sends that event once more.
     */
    boolean canContinue() {
        return lastEventId.isPresent() && !eventsBehindLastId;
    }

    /** Discards a partial event that is held back. */
    void discardPartialEvent() {
        partialEvent.release();
        partialEvent = Unpooled.EMPTY_BUFFER;
    }

    private void updateLastEventId(ByteBuf completeEvents) {
        String text = completeEvents.toString(StandardCharsets.UTF_8);
        int lineBreak = text.lastIndexOf("\n" + ID_FIELD);
        if (lineBreak < 0 && !text.startsWith(ID_FIELD)) {
            eventsBehindLastId |= holdsEvent(text.lines());
            return;
        }
        int fieldStart = lineBreak + 1;
        int end = text.indexOf('\n', fieldStart);
        lastEventId = Optional.of(text.substring(fieldStart + ID_FIELD.length(), end < 0 ? text.length() : end)
                .trim());
        eventsBehindLastId = holdsEvent(text.substring(fieldStart).lines().dropWhile(line -> !line.isEmpty()));
    }

    /** Tells whether any line belongs to an event, rather than being empty, a comment or a delay. */
    private static boolean holdsEvent(Stream<String> lines) {
        return lines.anyMatch(line -> !line.isEmpty() && line.charAt(0) != COMMENT && !line.startsWith(RETRY_FIELD));
    }
}
