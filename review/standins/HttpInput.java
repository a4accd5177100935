import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages. */
final class HttpInput {
    /** Start line and headers, by name in lower case. */
    record Head(String start, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    private final BufferedInputStream input;

    HttpInput(InputStream stream) {
        input = new BufferedInputStream(stream);
    }

    /** Returns the next head; null at the end of the input. */
    Head readHead() throws IOException {
        String start = readLine();
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Head(start, headers);
    }

    /** Returns the whole body that a head declares. */
    byte[] readBody(Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                byte[] chunk = readChunk();
                if (chunk.length == 0) {
                    return body.toByteArray();
                }
                body.writeBytes(chunk);
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : readBytes(Integer.parseInt(length));
    }

    /** Returns the next chunk; an empty one is the last. */
    byte[] readChunk() throws IOException {
        String size = readLine();
        if (size == null) {
            throw new EOFException("end within a chunked body");
        }
        byte[] chunk = readBytes(Integer.parseInt(size.split(";")[0].trim(), 16));
        readLine();
        return chunk;
    }

    private byte[] readBytes(int count) throws IOException {
        byte[] bytes = input.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("end after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
