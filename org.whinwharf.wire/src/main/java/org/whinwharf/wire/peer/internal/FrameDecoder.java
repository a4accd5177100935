package org.whinwharf.wire.peer.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.peer.PeerEvent;

/** Decodes the byte stream of a connection into frames. After the first invalid frame it discards all input. */
public final class FrameDecoder extends ByteToMessageDecoder {
    /** Maximum size of the first frame. Bounds the memory that an unidentified sender can make this process use. */
    public static final int MAX_HELLO_BYTES = 1_024;

    private static final int MAX_PREFIX_BYTES = 5;
    private static final int INCOMPLETE = -1;

    private final LinkCounters counters;
    private int maxFrameBytes = MAX_HELLO_BYTES;
    private boolean failed;

    /**
     * Creates a decoder that accepts frames of up to {@link #MAX_HELLO_BYTES} until the limit is raised.
     *
     * @param counters counters of the network
     */
    public FrameDecoder(LinkCounters counters) {
        this.counters = counters;
    }

    void setMaxFrameBytes(int newMaxFrameBytes) {
        maxFrameBytes = newMaxFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (failed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            decodeFrame(in, out);
        } catch (RuntimeException failure) {
            failed = true;
            throw failure;
        }
    }

    private void decodeFrame(ByteBuf in, List<Object> out) {
        int start = in.readerIndex();
        int sizeBytes = readLengthPrefix(in);
        if (sizeBytes > maxFrameBytes) {
            throw new TooLongFrameException("frame of " + sizeBytes + " bytes exceeds the limit of " + maxFrameBytes);
        }
        if (sizeBytes == INCOMPLETE || in.readableBytes() < sizeBytes) {
            in.readerIndex(start);
            return;
        }
        Frame frame = parse(in, sizeBytes);
        in.skipBytes(sizeBytes);
        counters.add(PeerEvent.FRAMES_IN);
        counters.add(PeerEvent.BYTES_IN, in.readerIndex() - (long) start);
        out.add(frame);
    }

    private static int readLengthPrefix(ByteBuf in) {
        long value = 0;
        for (int i = 0; i < MAX_PREFIX_BYTES; i++) {
            if (!in.isReadable()) {
                return INCOMPLETE;
            }
            byte next = in.readByte();
            value |= (long) (next & 0x7f) << (7 * i);
            if (next >= 0) {
                return (int) Math.min(value, Integer.MAX_VALUE);
            }
        }
        throw new CorruptedFrameException("length prefix is longer than " + MAX_PREFIX_BYTES + " bytes");
    }

    private static Frame parse(ByteBuf in, int sizeBytes) {
        try {
            return Frame.parseFrom(in.nioBuffer(in.readerIndex(), sizeBytes));
        } catch (InvalidProtocolBufferException e) {
            throw new CorruptedFrameException("frame cannot be parsed", e);
        }
    }
}
