package org.whinwharf.schema.internal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;

/** Makes parsers of JSON with comments. */
public final class JsonText {
    private static final JsonFactory FACTORY =
            JsonFactory.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    private JsonText() {}

    /**
     * Makes a parser.
     *
     * @param json the text
     * @return parser before its first token
     * @throws IOException when the text cannot be read
     */
    public static JsonParser parser(String json) throws IOException {
        return FACTORY.createParser(json);
    }
}
