package org.whinwharf.home;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * Complete answer of a request, stored for callers that ask for it again.
 *
 * @param texts texts of the tokens; empty for plain services
 * @param status HTTP status of a plain service's answer; 0 for engines
 * @param contentType media type of a plain service's answer
 * @param body body of a plain service's answer
 */
public record Answer(List<String> texts, int status, String contentType, ByteString body) {
    private static final int BYTES_PER_CHAR = 2;
    private static final int BYTES_PER_TEXT = 48;

    /**
     * Creates the answer of an engine.
     *
     * @param texts texts of the tokens
     * @return the answer
     */
    public static Answer ofTexts(List<String> texts) {
        return new Answer(List.copyOf(texts), 0, "", ByteString.EMPTY);
    }

    /**
     * Estimates the memory that the answer occupies.
     *
     * @return bytes
     */
    public int sizeBytes() {
        int chars = texts.stream().mapToInt(String::length).sum();
        return body.size() + chars * BYTES_PER_CHAR + texts.size() * BYTES_PER_TEXT;
    }
}
