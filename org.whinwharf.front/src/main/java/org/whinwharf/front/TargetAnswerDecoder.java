package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes responses of targets; a response to a HEAD request has no body, whatever its Content-Length.
 *
 * <p>A target may send a part of an earlier response, and then another response over the same connection. Where a
 * response ends that was cut off is unknown, so a head begins at the last status line before its empty line; what
 * stands before it is discarded.
 */
final class TargetAnswerDecoder extends HttpResponseDecoder {
    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
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

    private final int maxHeaderBytes;
    private Position position = Position.HEAD;
    private boolean answersHeadRequest;
    private boolean inputEnded;
    /** Bytes from the reader index on that hold no end of a head. */
    private int searchedBytes;
    /** Bytes that belong to no request, since the last call of {@link #expectResponse}. */
    private long discardedBytes;

    TargetAnswerDecoder(HttpDecoderConfig config) {
        super(config);
        maxHeaderBytes = config.getMaxHeaderSize();
    }

    /** Prepares for the response to a request with the given method. */
    void expectResponse(HttpMethod method) {
        answersHeadRequest = method.equals(HttpMethod.HEAD);
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

    /** Tells whether all bytes that were received belong to responses whose ends were decoded. */
    boolean isBetweenResponses() {
        return position == Position.HEAD && actualReadableBytes() == 0;
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
        if (position == Position.DISCARDING) {
            discardToStatusLine(in);
        }
        if (position == Position.HEAD || position == Position.DISCARDING) {
            int headBytes = findHead(in);
            if (headBytes > 0) {
                // Only the head: the superclass drops all that it is given with a head that it cannot parse.
                super.decode(context, in.readSlice(headBytes), out);
            } else if (position == Position.NO_HEAD) {
                super.decode(context, in, out);
            }
        } else {
            super.decode(context, in, out);
        }
        for (Object decoded : out.subList(before, out.size())) {
            position = decoded instanceof LastHttpContent ? Position.HEAD : Position.BODY;
        }
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
     * Moves to the beginning of the next head.
     *
     * @return length of the head; 0 if it is not complete, or there is none
     */
    private int findHead(ByteBuf in) {
        if (position == Position.HEAD && !mayBeStatusLine(in, in.readerIndex(), in.writerIndex())) {
            int statusLine = firstStatusLine(in);
            if (statusLine < 0) {
                position = Position.NO_HEAD;
                return 0;
            }
            discard(in, statusLine - in.readerIndex());
        }
        int end = headEnd(in);
        if (end < 0) {
            if (in.readableBytes() > maxHeaderBytes || inputEnded) {
                withoutHeadEnd(in);
            }
            return 0;
        }
        int start = lastStatusLine(in, end);
        if (start > in.readerIndex()) {
            discard(in, start - in.readerIndex());
        }
        searchedBytes = 0;
        return end - start;
    }

    private void withoutHeadEnd(ByteBuf in) {
        if (position == Position.DISCARDING) {
            // It looks like a status line, and is none.
            discard(in, 1);
        } else {
            position = Position.NO_HEAD;
        }
    }

    /** Returns the index behind the next empty line; a negative number if there is none. */
    private int headEnd(ByteBuf in) {
        int last = in.writerIndex() - HEAD_END.length;
        for (int i = in.readerIndex() + searchedBytes; i <= last; i++) {
            if (startsWith(in, i, HEAD_END)) {
                return i + HEAD_END.length;
            }
        }
        searchedBytes = Math.max(0, last + 1 - in.readerIndex());
        return -1;
    }

    private static int firstStatusLine(ByteBuf in) {
        for (int i = in.readerIndex(); i <= in.writerIndex() - STATUS_BYTES; i++) {
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
        return isDigit(in.getByte(at))
                && in.getByte(at + 1) == ' '
                && isDigit(in.getByte(at + 2))
                && isDigit(in.getByte(at + 3))
                && isDigit(in.getByte(at + 4));
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
