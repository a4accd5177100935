package org.whinwharf.front;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.whinwharf.wire.fleet.ItemsAnswer;

/**
 * Compresses large answers that carry published items. A change of one key carries a whole configuration, whose lines
 * are similar and compress well.
 */
final class ItemsAnswerCodec {
    /** Serialized size from which an answer is compressed; a smaller one fits into one packet uncompressed. */
    private static final int COMPRESSION_THRESHOLD_BYTES = 1_400;

    private ItemsAnswerCodec() {}

    /**
     * Compresses an answer whose serialized size reaches the threshold.
     *
     * @param answer the answer
     * @return the message to send: the answer itself when small, otherwise a message with its deflated form
     */
    static ItemsAnswer compress(ItemsAnswer answer) {
        if (answer.getSerializedSize() < COMPRESSION_THRESHOLD_BYTES) {
            return answer;
        }
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
            answer.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            deflater.end();
        }
        return ItemsAnswer.newBuilder()
                .setDeflated(ByteString.copyFrom(bytes.toByteArray()))
                .build();
    }

    /**
     * Decompresses a message received from a peer.
     *
     * @param received message as received, compressed or not
     * @param maxBytes maximum size of the decompressed answer
     * @return the answer
     * @throws IOException if the message is malformed or the answer exceeds {@code maxBytes}
     */
    static ItemsAnswer decompress(ItemsAnswer received, int maxBytes) throws IOException {
        if (received.getDeflated().isEmpty()) {
            return received;
        }
        try (InputStream in = new InflaterInputStream(received.getDeflated().newInput())) {
            byte[] bytes = in.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new InvalidProtocolBufferException("decompressed answer exceeds " + maxBytes + " bytes");
            }
            return received.toBuilder()
                    .clearDeflated()
                    .mergeFrom(ItemsAnswer.parseFrom(bytes))
                    .build();
        }
    }
}
