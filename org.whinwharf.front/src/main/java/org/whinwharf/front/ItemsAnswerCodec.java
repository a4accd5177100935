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

/** Deflates large answers with published items: a change of one key is a whole configuration, full of like lines. */
final class ItemsAnswerCodec {
    /** Size in bytes from which on an answer is deflated; a smaller one fits into one packet as it is. */
    private static final int COMPRESSION_THRESHOLD_BYTES = 1_400;

    private ItemsAnswerCodec() {}

    /**
     * Deflates an answer when it is large.
     *
     * @param answer the answer
     * @return what is sent in its place
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
     * Returns the answer that a peer packed.
     *
     * @param received what came
     * @param mostBytes most bytes of an answer
     * @return the answer
     * @throws IOException when it cannot be read or is too large
     */
    static ItemsAnswer decompress(ItemsAnswer received, int mostBytes) throws IOException {
        if (received.getDeflated().isEmpty()) {
            return received;
        }
        try (InputStream in = new InflaterInputStream(received.getDeflated().newInput())) {
            byte[] bytes = in.readNBytes(mostBytes + 1);
            if (bytes.length > mostBytes) {
                throw new InvalidProtocolBufferException("over " + mostBytes + " bytes");
            }
            return received.toBuilder()
                    .clearDeflated()
                    .mergeFrom(ItemsAnswer.parseFrom(bytes))
                    .build();
        }
    }
}
