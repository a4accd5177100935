package org.whinwharf.pgm.internal.diff;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.schema.internal.FieldRules;

/** Compares messages field by field. */
final class FieldDiff {
    private static final String NAME = "name";

    private final Changes changes;

    FieldDiff(Changes changes) {
        this.changes = changes;
    }

    /**
     * Compares two lists whose entries have names.
     *
     * @param area name of the list
     * @param before entries of the old document
     * @param after entries of the new document
     * @param nameOf returns an entry's name
     * @param <M> type of the entries
     */
    <M extends Message> void lists(String area, List<M> before, List<M> after, Function<M, String> nameOf) {
        Map<String, M> old = byName(before, nameOf);
        Map<String, M> fresh = byName(after, nameOf);
        for (String name : old.keySet()) {
            if (!fresh.containsKey(name)) {
                changes.risky(area, "diff.removed." + area, name);
            }
        }
        fresh.forEach((name, entry) -> {
            if (old.containsKey(name)) {
                fields(area, name, old.get(name), entry);
            } else {
                changes.plain(area, "diff.added." + area, name);
            }
        });
    }

    /**
     * Compares two messages, and their parts.
     *
     * @param area part of the document
     * @param name name of the entry, or of the part
     * @param before old message
     * @param after new message
     */
    void fields(String area, String name, Message before, Message after) {
        for (FieldDescriptor field : before.getDescriptorForType().getFields()) {
            if (field.getName().equals(NAME) || before.getField(field).equals(after.getField(field))) {
                continue;
            }
            boolean part = field.getJavaType() == FieldDescriptor.JavaType.MESSAGE && !field.isRepeated();
            if (part) {
                Message oldPart = (Message) before.getField(field);
                fields(area, name + "." + field.getJsonName(), oldPart, (Message) after.getField(field));
            } else {
                field(area, name, field, before.getField(field), after.getField(field));
            }
        }
    }

    private void field(String area, String name, FieldDescriptor field, Object before, Object after) {
        String own = "diff.field." + field.getContainingType().getName() + "." + field.getJsonName();
        if (FieldRules.of(field).getSecret()) {
            changes.plain(area, "diff.secret", name, field.getJsonName());
        } else if (PgmText.has(own)) {
            changes.plain(area, own, name, shown(before), shown(after));
        } else {
            changes.plain(area, "diff.field", name, field.getJsonName(), shown(before), shown(after));
        }
    }

    private static String shown(Object value) {
        if (value instanceof List<?> entries) {
            List<String> texts = new ArrayList<>();
            entries.forEach(entry -> texts.add(shown(entry)));
            return texts.isEmpty() ? PgmText.get("diff.nothing") : String.join(", ", texts);
        }
        if (value instanceof Message message) {
            FieldDescriptor name = message.getDescriptorForType().findFieldByName(NAME);
            return name == null
                    ? message.toString().strip()
                    : message.getField(name).toString() + flags(message);
        }
        return value.toString().isEmpty() ? PgmText.get("diff.nothing") : value.toString();
    }

    /** Shows the true flags of an entry, such as {@code confirm (idempotent)}. */
    private static String flags(Message message) {
        List<String> flags = message.getAllFields().entrySet().stream()
                .filter(entry -> Boolean.TRUE.equals(entry.getValue()))
                .map(entry -> entry.getKey().getJsonName())
                .toList();
        return flags.isEmpty() ? "" : " (" + String.join(", ", flags) + ")";
    }

    private static <M> Map<String, M> byName(List<M> entries, Function<M, String> nameOf) {
        Map<String, M> map = new LinkedHashMap<>();
        entries.forEach(entry -> map.put(nameOf.apply(entry), entry));
        return map;
    }
}
