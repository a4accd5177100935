package org.whinwharf.schema;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;

/** Writes messages of the schema as JSON that {@link SchemaReader} reads back. */
public final class SchemaWriter {
    private static final JsonFormat.Printer PRETTY = JsonFormat.printer();
    private static final JsonFormat.Printer COMPACT = JsonFormat.printer().omittingInsignificantWhitespace();
    private static final JsonFormat.Printer COMPLETE = JsonFormat.printer().alwaysPrintFieldsWithNoPresence();

    private SchemaWriter() {}

    /**
     * Writes a message for people, one field a line.
     *
     * @param message the message
     * @return JSON text; fields that hold their type's zero value are left out
     */
    public static String pretty(MessageOrBuilder message) {
        return print(PRETTY, message);
    }

    /**
     * Writes a message for people, with the fields that hold zero values too.
     *
     * <p>A document that is written for operators must say its zeros: an absent field would be read back as its
     * fallback, which may be another value.
     *
     * @param message the message
     * @return JSON text
     */
    public static String complete(MessageOrBuilder message) {
        return print(COMPLETE, message);
    }

    /**
     * Writes a message for programs, on one line.
     *
     * @param message the message
     * @return JSON text; fields that hold their type's zero value are left out
     */
    public static String compact(MessageOrBuilder message) {
        return print(COMPACT, message);
    }

    private static String print(JsonFormat.Printer printer, MessageOrBuilder message) {
        try {
            return printer.print(message);
        } catch (InvalidProtocolBufferException e) {
            // Thrown for a google.protobuf.Any of unknown type only; the schema has none.
            throw new IllegalArgumentException(e);
        }
    }
}
