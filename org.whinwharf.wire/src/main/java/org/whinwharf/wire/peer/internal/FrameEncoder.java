package org.whinwharf.wire.peer.internal;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.whinwharf.wire.message.Frame;

/** Encodes frames with their length prefix. */
public final class FrameEncoder {
    private FrameEncoder() {}

    /**
     * Encodes a frame.
     *
     * @param allocator allocator of the buffer
     * @param frame the frame
     * @return buffer with prefix and frame; the caller releases it
     */
    public static ByteBuf encode(ByteBufAllocator allocator, Frame frame) {
        int sizeBytes = frame.getSerializedSize();
        int totalBytes = CodedOutputStream.computeUInt32SizeNoTag(sizeBytes) + sizeBytes;
        ByteBuf buffer = allocator.buffer(totalBytes, totalBytes);
        try {
            ByteBuffer bytes = buffer.nioBuffer(0, totalBytes);
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            out.writeUInt32NoTag(sizeBytes);
            frame.writeTo(out);
            out.flush();
        } catch (IOException e) {
            buffer.release();
            throw new UncheckedIOException(e);
        }
        return buffer.writerIndex(totalBytes);
    }
}
