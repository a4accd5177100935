package org.whinwharf.front;

import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Kinds of frames on a relay connection. Each frame is its length in four bytes, its kind in one byte, and its content.
 *
 * <p>The end of the target's connection has a frame of its own. The end of the relay connection itself would otherwise
 * look like it, although it also occurs when the relaying process is killed.
 */
enum RelayFrame {
    /** Names the target; first frame from the asking process. */
    OPEN,
    /** Tells the outcome; first frame from the relaying process. */
    OPENED,
    /** Bytes to or from the target. */
    DATA,
    /** The target has ended its side of the connection in order; tells how many bytes had been sent to it. */
    END,
    /** The connection to the target failed. */
    FAILED;

    private static final int LENGTH_BYTES = 4;
    private static final int KIND_BYTES = 1;
    /** Maximum content of one frame; longer data is sent in several frames, so that none is buffered whole. */
    private static final int MAX_CONTENT_BYTES = 32 * 1_024;

    private static final RelayFrame[] BY_CODE = values();

    /** Returns a decoder that passes on one buffer for each frame, starting with its kind. */
    static LengthFieldBasedFrameDecoder decoder() {
        return new LengthFieldBasedFrameDecoder(
                LENGTH_BYTES + KIND_BYTES + MAX_CONTENT_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Reads the kind of a frame, and leaves the reader index at its content. */
    static RelayFrame readKind(ByteBuf frame) {
        int code = frame.readUnsignedByte();
        if (code >= BY_CODE.length) {
            throw new IllegalArgumentException("unknown kind of relay frame: " + code);
        }
        return BY_CODE[code];
    }

    /** Writes a frame without content and flushes. */
    ChannelFuture write(ChannelHandlerContext context) {
        return context.writeAndFlush(header(context, 0));
    }

    /** Writes a frame with a message and flushes. */
    void write(ChannelHandlerContext context, MessageLite message) {
        byte[] content = message.toByteArray();
        context.write(header(context, content.length));
        context.writeAndFlush(Unpooled.wrappedBuffer(content));
    }

    /** Writes the end of the target's side, before which the given number of bytes was sent to it, and flushes. */
    static void writeEnd(ChannelHandlerContext context, long sentBytes) {
        context.writeAndFlush(END.header(context, Long.BYTES).writeLong(sentBytes));
    }

    /**
     * Tells whether the given number of bytes had been sent to the target before it ended its side. A peer of an
     * earlier version does not report it.
     */
    static boolean endedAfter(ByteBuf content, long bytes) {
        return content.readableBytes() < Long.BYTES || content.readLong() >= bytes;
    }

    /** Writes bytes in as many frames as they need, without flushing; takes over the buffer. */
    static ChannelFuture writeData(ChannelHandlerContext context, ByteBuf bytes) {
        while (bytes.readableBytes() > MAX_CONTENT_BYTES) {
            context.write(DATA.header(context, MAX_CONTENT_BYTES));
            context.write(bytes.readRetainedSlice(MAX_CONTENT_BYTES));
        }
        context.write(DATA.header(context, bytes.readableBytes()));
        return context.write(bytes);
    }

    private ByteBuf header(ChannelHandlerContext context, int contentBytes) {
        return context.alloc()
                .buffer(LENGTH_BYTES + KIND_BYTES)
                .writeInt(KIND_BYTES + contentBytes)
                .writeByte(ordinal());
    }
}
