package org.whinwharf.document;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.zip.GZIPInputStream;
import org.whinwharf.document.internal.DocumentRules;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.Positions;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SchemaChecker;
import org.whinwharf.schema.internal.FaultCollector;
import org.whinwharf.schema.internal.JsonMessageReader;
import org.whinwharf.wire.schema.Document;

/** Reads the published form of a document, JSON with comments or the compact form, and checks it whole. */
public final class DocumentReader {
    /** Largest published form, in bytes; the smaller reading of the megabyte that the platform's values may have. */
    public static final int MAX_PUBLISHED_BYTES = 1_000_000;

    /** Largest text of a document in a file, in bytes. */
    public static final int MAX_SOURCE_BYTES = 32_000_000;

    /**
     * Largest document behind the compact form, in bytes.
     *
     * <p>A few kilobytes of gzip can unpack to gigabytes. Without this bound one bad published value would exhaust the
     * memory of every process at once; with it the value is refused as too large.
     */
    static final int MAX_UNPACKED_BYTES = 8_000_000;

    private static final Comparator<Fault> BY_PLACE =
            Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column);
    private static final int GZIP_FIRST = 0x1f;
    private static final int GZIP_SECOND = 0x8b;

    private DocumentReader() {}

    /**
     * Reads a published document.
     *
     * @param published bytes as published, in either form
     * @param source name that the faults carry
     * @return the document with fallbacks in place, or all its faults
     */
    public static ReadResult<Document> read(byte[] published, String source) {
        if (published.length > MAX_PUBLISHED_BYTES) {
            return invalid(source, Problem.TOO_LARGE, Integer.toString(published.length), maximum(MAX_PUBLISHED_BYTES));
        }
        return isCompact(published) ? readCompact(published, source) : readText(published, source);
    }

    /**
     * Reads a document as operators keep it. Its JSON may be larger than what can be published, as long as the compact
     * form is not.
     *
     * @param bytes bytes of the file, in either form
     * @param source name that the faults carry
     * @return the document with fallbacks in place, or all its faults
     */
    public static ReadResult<Document> readSource(byte[] bytes, String source) {
        if (isCompact(bytes)) {
            return read(bytes, source);
        }
        if (bytes.length > MAX_SOURCE_BYTES) {
            return invalid(source, Problem.TOO_LARGE, Integer.toString(bytes.length), maximum(MAX_SOURCE_BYTES));
        }
        ReadResult<Document> read = readText(bytes, source);
        if (read instanceof ReadResult.Valid<Document> valid) {
            int compactBytes = DocumentWriter.compact(valid.value()).length;
            if (compactBytes > MAX_PUBLISHED_BYTES) {
                String found = Integer.toString(compactBytes);
                return invalid(source, Problem.TOO_LARGE, found, maximum(MAX_PUBLISHED_BYTES));
            }
        }
        return read;
    }

    /**
     * Reads a document from JSON with comments.
     *
     * @param json the text
     * @param source name that the faults carry
     * @return the document with fallbacks in place, or all its faults
     */
    public static ReadResult<Document> readJson(String json, String source) {
        FaultCollector collector = new FaultCollector(source);
        Document.Builder builder = Document.newBuilder();
        JsonMessageReader.read(json, builder, collector);
        List<Fault> bySchema = collector.all();
        Document document = builder.build();
        List<Fault> byMeaning = DocumentRules.check(document, source, bySchema);
        List<Fault> faults = new ArrayList<>(bySchema);
        if (!byMeaning.isEmpty()) {
            faults.addAll(Positions.locate(byMeaning, json));
        }
        faults.sort(BY_PLACE);
        return result(document, faults);
    }

    private static ReadResult<Document> readText(byte[] published, String source) {
        try {
            String json = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(published))
                    .toString();
            return readJson(json, source);
        } catch (CharacterCodingException e) {
            return invalid(source, Problem.SYNTAX, "", "UTF-8");
        }
    }

    private static ReadResult<Document> readCompact(byte[] published, String source) {
        try (InputStream unpacked = new GZIPInputStream(new ByteArrayInputStream(published))) {
            byte[] bytes = unpacked.readNBytes(MAX_UNPACKED_BYTES + 1);
            if (bytes.length > MAX_UNPACKED_BYTES) {
                return invalid(source, Problem.TOO_LARGE, "", maximum(MAX_UNPACKED_BYTES));
            }
            return check(SchemaChecker.complete(Document.parseFrom(bytes)), source);
        } catch (IOException e) {
            return invalid(source, Problem.SYNTAX, e.getClass().getSimpleName(), "");
        }
    }

    private static ReadResult<Document> check(Document document, String source) {
        List<Fault> faults = new ArrayList<>(SchemaChecker.check(document, source));
        faults.addAll(DocumentRules.check(document, source, faults));
        return result(document, faults);
    }

    private static ReadResult<Document> result(Document document, List<Fault> faults) {
        return faults.isEmpty() ? new ReadResult.Valid<>(document) : new ReadResult.Invalid<>(faults);
    }

    private static boolean isCompact(byte[] published) {
        return published.length > 1 && (published[0] & 0xff) == GZIP_FIRST && (published[1] & 0xff) == GZIP_SECOND;
    }

    private static String maximum(int bytes) {
        return Integer.toString(bytes);
    }

    private static ReadResult<Document> invalid(String source, Problem problem, String found, String allowed) {
        return new ReadResult.Invalid<>(List.of(new Fault(source, 0, 0, "", problem, found, allowed)));
    }
}
