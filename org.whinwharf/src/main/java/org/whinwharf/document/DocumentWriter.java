package org.whinwharf.document;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.Deflater;
import java.util.zip.GZIPOutputStream;
import org.whinwharf.schema.SchemaWriter;
import org.whinwharf.wire.schema.Document;

/** Writes the published forms of a document. */
public final class DocumentWriter {
    private DocumentWriter() {}

    /**
     * Writes the compact form: gzip of the binary form.
     *
     * @param document the document
     * @return bytes to publish
     */
    public static byte[] compact(Document document) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (OutputStream packed = new SmallestGzip(bytes)) {
            document.writeTo(packed);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Writes the document as JSON, for people to read and edit.
     *
     * @param document the document
     * @return bytes to publish, in UTF-8; comments of an earlier text are not in them
     */
    public static byte[] json(Document document) {
        return (SchemaWriter.complete(document) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static final class SmallestGzip extends GZIPOutputStream {
        SmallestGzip(OutputStream out) throws IOException {
            super(out);
            def.setLevel(Deflater.BEST_COMPRESSION);
        }
    }
}
