package org.whinwharf.schema.internal;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.internal.FaultCollector.Place;

/** Checks every field of a message against its rule. */
public final class MessageWalk {
    private final FaultCollector faults;

    private MessageWalk(FaultCollector faults) {
        this.faults = faults;
    }

    /**
     * Checks a message.
     *
     * @param message the message
     * @param faults where faults go
     */
    public static void check(Message message, FaultCollector faults) {
        new MessageWalk(faults).walk(message, "");
    }

    private void walk(Message message, String path) {
        if (!message.getUnknownFields().asMap().isEmpty()) {
            faults.add(Place.of(path), Problem.UNKNOWN_FIELD, "", "");
        }
        for (FieldDescriptor field : message.getDescriptorForType().getFields()) {
            String fieldPath = path.isEmpty() ? field.getJsonName() : path + "." + field.getJsonName();
            if (field.isMapField()) {
                continue;
            }
            if (field.isRepeated()) {
                walkList(message, field, fieldPath);
            } else if (field.hasPresence() && !message.hasField(field)) {
                reportAbsent(field, fieldPath);
            } else {
                walkValue(field, message.getField(field), fieldPath);
            }
        }
    }

    private void walkList(Message message, FieldDescriptor field, String path) {
        int count = message.getRepeatedFieldCount(field);
        FieldRules.checkCount(field, count, Place.of(path), faults);
        UniqueNames names = new UniqueNames(field, faults);
        for (int i = 0; i < count; i++) {
            Object entry = message.getRepeatedField(field, i);
            String entryPath = path + "[" + i + "]";
            walkValue(field, entry, entryPath);
            names.check(entry, Place.of(entryPath));
        }
    }

    private void walkValue(FieldDescriptor field, Object value, String path) {
        if (value instanceof Message part) {
            walk(part, path);
        } else {
            FieldRules.checkValue(field, value, Place.of(path), faults);
        }
    }

    private void reportAbsent(FieldDescriptor field, String path) {
        if (FieldRules.of(field).getRequired()) {
            faults.add(Place.of(path), Problem.MISSING, "", FieldRules.allowed(field));
        }
    }
}
