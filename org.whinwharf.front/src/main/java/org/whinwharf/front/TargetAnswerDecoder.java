package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes responses of targets; a response to a HEAD request has no body, whatever its Content-Length.
 *
 * <p>A target may send a part of an earlier response, and then another response over the same connection. Where a
 * response ends that was cut off is unknown, so a head begins at the last status line before its empty line; what
 * stands before it is discarded. The first response of a connection has none before it. A later one that may hold a
 * status line in a field is refused, since nothing tells it from one that follows a part of another.
 */
final class TargetAnswerDecoder extends StrictResponseDecoder {
    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    /** Processes the bytes of empty lines. */
    private static final ByteProcessor BLANK = value -> value == '\r' || value == '\n';

    private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** Length of a status line up to its code. */
    private static final int STATUS_BYTES = "HTTP/1.1 200".length();

    private enum Position {
        /** Before the head of a response. */
        HEAD,
        /** Behind bytes that are no head; the superclass reports them. */
        NO_HEAD,
        BODY,
        /** Inside a response that answers no request, whose end may be missing. */
        DISCARDING
    }

    /** What stands before a status line that is quoted in a field, rather than cut off before it. */
    private static final String QUOTING = " \t:=,;\"'([";

    private final int maxHeaderBytes;
    private Position position = Position.HEAD;
    private int expectedResponses;
    private boolean answersHeadRequest;
    private boolean inputEnded;
    /** Bytes from the reader index on that hold no end of a head. */
    private int searchedBytes;
    /** Bytes from the reader index on at which no status line begins, before a line is complete. */
    private int searchedLineBytes;
    /** Bytes of empty lines since the last head. */
    private int blankBytes;
    /** Bytes that belong to no request, since the last call of {@link #expectResponse}. */
    private long discardedBytes;

    TargetAnswerDecoder(HttpDecoderConfig config) {
        super(config);
        maxHeaderBytes = config.getMaxHeaderSize();
    }

    /** Prepares for the response to a request with the given method. */
    void expectResponse(HttpMethod method) {
        answersHeadRequest = method.equals(HttpMethod.HEAD);
        expectedResponses++;
        discardedBytes = 0;
    }

    /**
     * Discards the rest of the response whose head was read last, up to the next head. The framing of that response is
     * ignored, since its body may have been cut off.
     */
    void discardResponse() {
        reset();
        position = Position.DISCARDING;
        searchedBytes = 0;
    }

    /** Returns the number of bytes that were found to belong to no request since the latest one was sent. */
    long discardedBytes() {
        return discardedBytes;
    }

    /** Tells whether all bytes that were received, but for empty lines, belong to responses whose ends were decoded. */
    boolean isBetweenResponses() {
        return position == Position.HEAD && internalBuffer().forEachByte(BLANK) < 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return answersHeadRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        inputEnded = true;
        super.decodeLast(context, in, out);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int before = out.size();
        if (position == Position.HEAD) {
            skipBlankLines(in);
            if (blankBytes > maxHeaderBytes) {
                blankBytes = 0;
                refuse("empty lines without end", out);
            } else if (expectedResponses <= 1 && in.isReadable()) {
                position = Position.NO_HEAD;
            }
        } else if (position == Position.DISCARDING) {
            discardToStatusLine(in);
        }
        if (position == Position.HEAD || position == Position.DISCARDING) {
            decodeHead(context, in, out);
        } else {
            super.decode(context, in, out);
        }
        for (Object decoded : out.subList(before, out.size())) {
            blankBytes = 0;
            position = decoded instanceof LastHttpContent ? Position.HEAD : Position.BODY;
        }
    }

    private void decodeHead(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int headBytes = findHead(in);
        if (headBytes > 0 && position == Position.HEAD && quotesStatusLine(in, in.readerIndex() + headBytes)) {
            in.skipBytes(headBytes);
            refuse("status line in a field", out);
        } else if (headBytes > 0) {
            int strayBytes = lastStatusLine(in, in.readerIndex() + headBytes) - in.readerIndex();
            discard(in, strayBytes);
            // Only the head: the superclass drops all that it is given with a head that it cannot parse.
            super.decode(context, in.readSlice(headBytes - strayBytes), out);
        } else if (position == Position.NO_HEAD) {
            super.decode(context, in, out);
        }
    }

    private void refuse(String reason, List<Object> out) {
        HttpMessage refused = createInvalidMessage();
        refused.setDecoderResult(DecoderResult.failure(new CorruptedFrameException(reason)));
        out.add(refused);
    }

    private void skipBlankLines(ByteBuf in) {
        int other = in.forEachByte(BLANK);
        int bytes = other < 0 ? in.readableBytes() : other - in.readerIndex();
        in.skipBytes(bytes);
        blankBytes += bytes;
    }

    /** Skips what precedes the next status line; keeps the end of the input where one may begin. */
    private void discardToStatusLine(ByteBuf in) {
        int end = in.writerIndex();
        int start = in.readerIndex();
        while (start < end && !mayBeStatusLine(in, start, end)) {
            start++;
        }
        discard(in, start - in.readerIndex());
    }

    private void discard(ByteBuf in, int bytes) {
        in.skipBytes(bytes);
        searchedBytes = Math.max(0, searchedBytes - bytes);
        discardedBytes += bytes;
        if (discardedBytes > Front.MAX_ANSWER_BYTES) {
            throw new TooLongFrameException("bytes that belong to no request: " + discardedBytes);
        }
    }

    /**
     * Finds the end of the next head.
     *
     * @return length up to that end, with stray bytes before the head; 0 if it is not complete, or there is none
     */
    private int findHead(ByteBuf in) {
        if (position == Position.HEAD && !mayBeStatusLine(in, in.readerIndex(), in.writerIndex())) {
            int from = in.readerIndex() + searchedLineBytes;
            int statusLine = firstStatusLine(in, from);
            if (statusLine < 0) {
                boolean lineComplete = in.indexOf(from, in.writerIndex(), (byte) '\n') >= 0;
                searchedLineBytes = Math.max(0, in.readableBytes() - STATUS_BYTES + 1);
                if (lineComplete || in.readableBytes() > maxHeaderBytes || inputEnded) {
                    noHead(in);
                }
                return 0;
            }
            searchedLineBytes = 0;
            discard(in, statusLine - in.readerIndex());
        }
        int last = in.writerIndex() - HEAD_END.length;
        for (int i = in.readerIndex() + searchedBytes; i <= last; i++) {
            if (startsWith(in, i, HEAD_END)) {
                searchedBytes = 0;
                return i + HEAD_END.length - in.readerIndex();
            }
            if (in.getByte(i + 1) == '\n' && in.getByte(i) != '\r') {
                noHead(in);
                return 0;
            }
        }
        searchedBytes = Math.max(0, last + 1 - in.readerIndex());
        if (in.readableBytes() > maxHeaderBytes || inputEnded) {
            noHead(in);
        }
        return 0;
    }

    /** Handles bytes that may look like the beginning of a head and are none. */
    private void noHead(ByteBuf in) {
        if (position == Position.DISCARDING) {
            discard(in, 1);
        } else {
            position = Position.NO_HEAD;
            searchedBytes = 0;
            searchedLineBytes = 0;
        }
    }

    /** Tells whether the last status line before the given index stands in a field, where it may belong. */
    private static boolean quotesStatusLine(ByteBuf in, int end) {
        int statusLine = lastStatusLine(in, end);
        return statusLine > in.readerIndex()
                && in.indexOf(in.readerIndex(), statusLine, (byte) '\n') >= 0
                && QUOTING.indexOf(in.getByte(statusLine - 1)) >= 0;
    }

    private static int firstStatusLine(ByteBuf in, int from) {
        for (int i = from; i <= in.writerIndex() - STATUS_BYTES; i++) {
            if (isStatusLine(in, i)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the index of the last status line before the given one; that of the reader if there is none. */
    private static int lastStatusLine(ByteBuf in, int end) {
        for (int i = end - STATUS_BYTES; i > in.readerIndex(); i--) {
            if (isStatusLine(in, i)) {
                return i;
            }
        }
        return in.readerIndex();
    }

    /** Tells whether the available bytes are those of a status line, or the beginning of one. */
    private static boolean mayBeStatusLine(ByteBuf in, int index, int end) {
        if (end - index >= STATUS_BYTES) {
            return isStatusLine(in, index);
        }
        int bytes = Math.min(end - index, STATUS_LINE_START.length);
        for (int i = 0; i < bytes; i++) {
            if (in.getByte(index + i) != STATUS_LINE_START[i]) {
                return false;
            }
        }
        return true;
    }

    private static boolean isStatusLine(ByteBuf in, int index) {
        if (!startsWith(in, index, STATUS_LINE_START)) {
            return false;
        }
        int at = index + STATUS_LINE_START.length;
        return isDigit(in.getByte(at)) && in.getByte(at + 1) == ' ' && isNumber(in, at + 2, index + STATUS_BYTES);
    }

    /** Tells whether the bytes begin with a number, which need not be sound as a status to begin a head. */
    private static boolean isNumber(ByteBuf in, int start, int end) {
        byte first = in.getByte(start);
        if (!isDigit(first) && first != '+' && first != '-') {
            return false;
        }
        int next = start + 1;
        while (next < end && isDigit(in.getByte(next))) {
            next++;
        }
        return next == end || in.getByte(next) == ' ' || in.getByte(next) == '\r';
    }

    private static boolean startsWith(ByteBuf in, int index, byte[] expected) {
        for (int i = 0; i < expected.length; i++) {
            if (in.getByte(index + i) != expected[i]) {
                return false;
            }
        }
        return true;
    }

    private static boolean isDigit(byte value) {
        return value >= '0' && value <= '9';
    }
}
