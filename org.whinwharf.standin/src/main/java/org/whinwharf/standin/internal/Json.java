package org.whinwharf.standin.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.micronaut.http.HttpStatus;

/** Reads and writes the JSON of the stand-ins' routes. */
final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();
    private static final JsonFormat.Printer PRINTER = JsonFormat.printer().omittingInsignificantWhitespace();

    private Json() {}

    static String print(Message message) {
        try {
            return PRINTER.print(message);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static <B extends Message.Builder> B parse(String json, B builder) {
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(json, builder);
            return builder;
        } catch (InvalidProtocolBufferException e) {
            throw new StandInException(HttpStatus.BAD_REQUEST, "malformed");
        }
    }

    static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static JsonNode read(byte[] json) throws java.io.IOException {
        return MAPPER.readTree(json);
    }

    /** Returns a copy of the record in which the members named by the JSON text are replaced; an unknown one fails. */
    static <T extends Record> T merge(T old, Class<T> type, String json) {
        try {
            ObjectNode merged = MAPPER.valueToTree(old);
            merged.setAll((ObjectNode) MAPPER.readTree(json));
            return MAPPER.treeToValue(merged, type);
        } catch (JsonProcessingException | ClassCastException e) {
            throw new StandInException(HttpStatus.BAD_REQUEST, "malformed");
        }
    }
}
