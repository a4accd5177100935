package org.whinwharf.entry.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;

/** JSON form of messages towards callers and targets. */
final class CallerJson {
    private static final JsonFormat.Printer PRINTER =
            JsonFormat.printer().alwaysPrintFieldsWithNoPresence().omittingInsignificantWhitespace();
    private static final JsonFormat.Parser PARSER = JsonFormat.parser().ignoringUnknownFields();

    private CallerJson() {}

    static String print(MessageOrBuilder message) {
        try {
            return PRINTER.print(message);
        } catch (InvalidProtocolBufferException unknownType) {
            throw new IllegalStateException("no message holds an Any", unknownType);
        }
    }

    static void merge(String json, com.google.protobuf.Message.Builder into) throws InvalidProtocolBufferException {
        PARSER.merge(json, into);
    }
}
