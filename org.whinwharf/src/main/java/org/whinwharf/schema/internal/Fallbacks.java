package org.whinwharf.schema.internal;

import com.fasterxml.jackson.core.JsonParser;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.whinwharf.schema.internal.FaultCollector.Place;
import org.whinwharf.wire.schema.FieldRule;

/** Puts the fallbacks that the schema names in the place of absent fields. */
public final class Fallbacks {
    private static final Map<FieldDescriptor, Object> VALUES = new ConcurrentHashMap<>();

    private Fallbacks() {}

    /**
     * Fills the absent fields of one object that was read from JSON.
     *
     * @param builder the object
     * @param seen fields that stood in the JSON
     */
    public static void fill(Message.Builder builder, Set<FieldDescriptor> seen) {
        for (FieldDescriptor field : builder.getDescriptorForType().getFields()) {
            if (!seen.contains(field)) {
                fillField(builder, field);
            }
        }
    }

    /**
     * Fills the absent fields of a whole message that was read from its binary form.
     *
     * @param builder the message
     */
    public static void complete(Message.Builder builder) {
        for (FieldDescriptor field : builder.getDescriptorForType().getFields()) {
            if (field.isMapField()) {
                continue;
            }
            if (field.getJavaType() != FieldDescriptor.JavaType.MESSAGE) {
                completeScalar(builder, field);
            } else if (field.isRepeated()) {
                completeEntries(builder, field);
            } else if (builder.hasField(field)) {
                Message.Builder part = ((Message) builder.getField(field)).toBuilder();
                complete(part);
                builder.setField(field, part.build());
            } else {
                fillField(builder, field);
            }
        }
    }

    private static void completeEntries(Message.Builder builder, FieldDescriptor field) {
        for (int i = 0; i < builder.getRepeatedFieldCount(field); i++) {
            Message.Builder entry = ((Message) builder.getRepeatedField(field, i)).toBuilder();
            complete(entry);
            builder.setRepeatedField(field, i, entry.build());
        }
    }

    private static void completeScalar(Message.Builder builder, FieldDescriptor field) {
        if (field.isRepeated() || FieldRules.of(field).getFallback().isEmpty()) {
            return;
        }
        boolean absent = field.hasPresence() ? !builder.hasField(field) : isImpossible(builder.getField(field), field);
        if (absent) {
            builder.setField(field, value(field));
        }
    }

    private static boolean isImpossible(Object value, FieldDescriptor field) {
        return value instanceof Number number && !FieldRules.inRange(FieldRules.of(field), number)
                || value instanceof String text && text.isEmpty();
    }

    private static void fillField(Message.Builder builder, FieldDescriptor field) {
        if (field.isRepeated()) {
            return;
        }
        if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
            fillMessage(builder, field);
        } else if (!FieldRules.of(field).getFallback().isEmpty()) {
            builder.setField(field, value(field));
        }
    }

    private static void fillMessage(Message.Builder builder, FieldDescriptor field) {
        if (isOptionalGroup(field.getMessageType())) {
            Message.Builder part = builder.newBuilderForField(field);
            fill(part, Set.of());
            builder.setField(field, part.build());
        }
    }

    /** Tells whether a message can be made from fallbacks alone: it has some, and needs nothing else. */
    private static boolean isOptionalGroup(Descriptor type) {
        boolean hasFallback = false;
        for (FieldDescriptor field : type.getFields()) {
            FieldRule rule = FieldRules.of(field);
            if (rule.getRequired() || rule.getMinItems() > 0) {
                return false;
            }
            hasFallback |= !rule.getFallback().isEmpty();
        }
        return hasFallback;
    }

    private static Object value(FieldDescriptor field) {
        return VALUES.computeIfAbsent(field, Fallbacks::parse);
    }

    private static Object parse(FieldDescriptor field) {
        FaultCollector faults = new FaultCollector(field.getFullName());
        try (JsonParser parser = JsonText.parser(FieldRules.of(field).getFallback())) {
            parser.nextToken();
            Object value = JsonScalars.read(parser, field, Place.of(field.getFullName()), faults);
            if (value == null || !faults.all().isEmpty()) {
                throw new IllegalStateException("The fallback of " + field.getFullName() + " breaks its own rule.");
            }
            return value;
        } catch (IOException e) {
            throw new IllegalStateException("The fallback of " + field.getFullName() + " is not JSON.", e);
        }
    }
}
