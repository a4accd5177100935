package org.whinwharf.schema.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import java.math.BigDecimal;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.internal.FaultCollector.Place;
import org.whinwharf.text.Text;
import org.whinwharf.wire.schema.FieldRule;
import org.whinwharf.wire.schema.Options;

/** Checks single values against the rules of their fields. */
public final class FieldRules {
    private static final String BUNDLE = "org.whinwharf.schema.Faults";
    private static final Map<String, Pattern> PATTERNS = new ConcurrentHashMap<>();

    private FieldRules() {}

    /**
     * Returns the rule of a field.
     *
     * @param field field of the schema
     * @return its rule; the default rule, which allows everything, when it has none
     */
    public static FieldRule of(FieldDescriptor field) {
        return field.getOptions().getExtension(Options.rule);
    }

    /**
     * Checks one value of a field that is no message.
     *
     * @param field field of the schema
     * @param value value as protobuf represents it
     * @param place place of the value
     * @param faults where faults go
     */
    public static void checkValue(FieldDescriptor field, Object value, Place place, FaultCollector faults) {
        FieldRule rule = of(field);
        if (value instanceof Number number) {
            checkRange(rule, number, place, faults);
        } else if (rule.getRequired() && isEmpty(value)) {
            faults.add(place, Problem.MISSING, "", allowed(field));
        } else if (value instanceof String text) {
            checkPattern(field, rule, text, place, faults);
        }
    }

    /**
     * Checks the number of entries of a repeated field.
     *
     * @param field field of the schema
     * @param count number of entries
     * @param place place of the list
     * @param faults where faults go
     */
    public static void checkCount(FieldDescriptor field, int count, Place place, FaultCollector faults) {
        FieldRule rule = of(field);
        if (count < rule.getMinItems()) {
            faults.add(place, Problem.TOO_FEW, Integer.toString(count), text("at-least", rule.getMinItems()));
        }
        if (rule.getMaxItems() > 0 && count > rule.getMaxItems()) {
            faults.add(place, Problem.TOO_MANY, Integer.toString(count), text("at-most", rule.getMaxItems()));
        }
    }

    /**
     * Tells whether a number is inside the bounds of its field.
     *
     * @param rule rule of the field
     * @param number the number
     * @return true when it is allowed
     */
    public static boolean inRange(FieldRule rule, Number number) {
        double value = number.doubleValue();
        boolean low = rule.hasMinimum() && value < rule.getMinimum();
        boolean high = rule.hasMaximum() && value > rule.getMaximum();
        return !low && !high && !Double.isNaN(value);
    }

    /**
     * Describes what a field allows.
     *
     * @param field field of the schema
     * @return text for people, such as {@code a whole number, 1 to 64}
     */
    public static String allowed(FieldDescriptor field) {
        FieldRule rule = of(field);
        String type = typeName(field);
        if (!rule.getPattern().isEmpty()) {
            return text("pattern", type, rule.getPattern());
        }
        return rule.hasMinimum() || rule.hasMaximum() ? type + ", " + range(rule) : type;
    }

    private static void checkRange(FieldRule rule, Number number, Place place, FaultCollector faults) {
        if (!inRange(rule, number)) {
            faults.add(place, Problem.OUT_OF_RANGE, shown(rule, plain(number.doubleValue())), range(rule));
        }
    }

    private static void checkPattern(
            FieldDescriptor field, FieldRule rule, String text, Place place, FaultCollector faults) {
        if (rule.getPattern().isEmpty()) {
            return;
        }
        Pattern pattern = PATTERNS.computeIfAbsent(rule.getPattern(), Pattern::compile);
        if (!pattern.matcher(text).matches()) {
            faults.add(place, Problem.BAD_PATTERN, shown(rule, text), allowed(field));
        }
    }

    private static boolean isEmpty(Object value) {
        if (value instanceof String text) {
            return text.isEmpty();
        }
        if (value instanceof ByteString bytes) {
            return bytes.isEmpty();
        }
        return value instanceof EnumValueDescriptor word && word.getNumber() == 0;
    }

    private static String shown(FieldRule rule, String value) {
        return rule.getSecret() ? "" : value;
    }

    private static String range(FieldRule rule) {
        if (!rule.hasMaximum()) {
            return text("from", plain(rule.getMinimum()));
        }
        return rule.hasMinimum()
                ? text("range", plain(rule.getMinimum()), plain(rule.getMaximum()))
                : text("up-to", plain(rule.getMaximum()));
    }

    private static String plain(double number) {
        if (Double.isNaN(number) || Double.isInfinite(number)) {
            return Double.toString(number);
        }
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }

    private static String typeName(FieldDescriptor field) {
        if (field.isMapField()) {
            return text("type.message");
        }
        return switch (field.getJavaType()) {
            case INT, LONG -> text("type.whole");
            case FLOAT, DOUBLE -> text("type.number");
            case BOOLEAN -> text("type.boolean");
            case STRING -> text("type.string");
            case BYTE_STRING -> text("type.bytes");
            case ENUM -> words(field);
            case MESSAGE -> text("type.message");
        };
    }

    private static String words(FieldDescriptor field) {
        return field.getEnumType().getValues().stream()
                .filter(word -> word.getNumber() != 0)
                .map(EnumValueDescriptor::getName)
                .collect(Collectors.joining(", "));
    }

    private static String text(String key, Object... arguments) {
        return Text.from(BUNDLE, "allowed." + key, arguments);
    }
}
