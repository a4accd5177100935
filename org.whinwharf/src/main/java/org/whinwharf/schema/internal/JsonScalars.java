package org.whinwharf.schema.internal;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import java.io.IOException;
import java.util.Base64;
import java.util.regex.Pattern;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.internal.FaultCollector.Place;

/** Reads single values that are no messages. */
final class JsonScalars {
    private static final Pattern WHOLE = Pattern.compile("-?[0-9]{1,19}");

    private JsonScalars() {}

    /**
     * Reads the current token as a value of a field and checks it against the field's rule.
     *
     * @param parser parser at the value's first token; at its last one afterwards
     * @param field field of the schema
     * @param place place of the value
     * @param faults where faults go
     * @return value as protobuf represents it; null when it has another type, which was added as a fault
     * @throws IOException when the text is not JSON
     */
    static Object read(JsonParser parser, FieldDescriptor field, Place place, FaultCollector faults)
            throws IOException {
        Object value =
                switch (field.getJavaType()) {
                    case INT -> readInt(parser, field, place, faults);
                    case LONG -> readLong(parser, field, place, faults);
                    case FLOAT -> isNumber(parser) ? parser.getFloatValue() : null;
                    case DOUBLE -> isNumber(parser) ? parser.getDoubleValue() : null;
                    case BOOLEAN -> parser.currentToken().isBoolean() ? parser.getBooleanValue() : null;
                    case STRING -> isString(parser) ? parser.getText() : null;
                    case BYTE_STRING -> isString(parser) ? readBytes(parser, place, faults) : null;
                    case ENUM -> isString(parser) ? readWord(parser, field, place, faults) : null;
                    case MESSAGE -> throw new IllegalArgumentException(field.getFullName());
                };
        if (value == Rejected.REJECTED) {
            return null;
        }
        if (value == null) {
            faults.add(place, Problem.WRONG_TYPE, "", FieldRules.allowed(field));
            parser.skipChildren();
            return null;
        }
        FieldRules.checkValue(field, value, place, faults);
        return value;
    }

    private static Object readInt(JsonParser parser, FieldDescriptor field, Place place, FaultCollector faults)
            throws IOException {
        Object value = readLong(parser, field, place, faults);
        if (!(value instanceof Long number)) {
            return value;
        }
        if (number.intValue() != number) {
            return outOfRange(number.toString(), field, place, faults);
        }
        return number.intValue();
    }

    /** Reads a whole number; 64-bit ones may stand in quotes, which is how protobuf's JSON form writes them. */
    private static Object readLong(JsonParser parser, FieldDescriptor field, Place place, FaultCollector faults)
            throws IOException {
        boolean quoted = isString(parser) && field.getJavaType() == FieldDescriptor.JavaType.LONG;
        if (!quoted && parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            return null;
        }
        String digits = parser.getText();
        if (!WHOLE.matcher(digits).matches()) {
            return quoted ? null : outOfRange(digits, field, place, faults);
        }
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            return outOfRange(digits, field, place, faults);
        }
    }

    private static Object outOfRange(String digits, FieldDescriptor field, Place place, FaultCollector faults) {
        faults.add(place, Problem.OUT_OF_RANGE, digits, FieldRules.allowed(field));
        return Rejected.REJECTED;
    }

    private static Object readBytes(JsonParser parser, Place place, FaultCollector faults) throws IOException {
        try {
            return ByteString.copyFrom(Base64.getDecoder().decode(parser.getText()));
        } catch (IllegalArgumentException e) {
            faults.add(place, Problem.BAD_BASE64, "", "");
            return Rejected.REJECTED;
        }
    }

    private static Object readWord(JsonParser parser, FieldDescriptor field, Place place, FaultCollector faults)
            throws IOException {
        String name = parser.getText();
        EnumValueDescriptor word = field.getEnumType().findValueByName(name);
        if (word != null && word.getNumber() != 0) {
            return word;
        }
        faults.add(place, Problem.UNKNOWN_WORD, name, FieldRules.allowed(field));
        return Rejected.REJECTED;
    }

    private static boolean isNumber(JsonParser parser) {
        return parser.currentToken().isNumeric();
    }

    private static boolean isString(JsonParser parser) {
        return parser.currentToken() == JsonToken.VALUE_STRING;
    }

    /** Stands for a value that was refused and whose fault was added already. */
    private enum Rejected {
        REJECTED
    }
}
