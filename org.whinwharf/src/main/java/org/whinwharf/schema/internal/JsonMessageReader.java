package org.whinwharf.schema.internal;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.internal.FaultCollector.Place;

/** Reads JSON into a message and goes on behind each fault that leaves the text readable. */
public final class JsonMessageReader {
    private final JsonParser parser;
    private final FaultCollector faults;
    private final Map<Descriptor, Map<String, FieldDescriptor>> fieldsByName = new HashMap<>();

    private JsonMessageReader(JsonParser parser, FaultCollector faults) {
        this.parser = parser;
        this.faults = faults;
    }

    /**
     * Reads a message.
     *
     * @param json the text
     * @param builder empty builder of the message
     * @param faults where faults go
     */
    public static void read(String json, Message.Builder builder, FaultCollector faults) {
        try (JsonParser parser = JsonText.parser(json)) {
            new JsonMessageReader(parser, faults).readRoot(builder);
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation() == null ? JsonLocation.NA : e.getLocation();
            faults.add(Place.of("", location), Problem.SYNTAX, e.getOriginalMessage(), "");
        } catch (IOException e) {
            faults.add(Place.of(""), Problem.UNREADABLE, e.getClass().getSimpleName(), "");
        }
    }

    private void readRoot(Message.Builder builder) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            faults.add(Place.of("", parser.currentLocation()), Problem.SYNTAX, "", "{ }");
            return;
        }
        readObject(builder, "");
        if (parser.nextToken() != null) {
            faults.add(here(""), Problem.SYNTAX, parser.getText(), "");
        }
    }

    private void readObject(Message.Builder builder, String path) throws IOException {
        Place start = here(path);
        Set<FieldDescriptor> seen = new HashSet<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            readField(builder, path, seen);
        }
        reportMissing(builder, start, seen);
        Fallbacks.fill(builder, seen);
    }

    private void readField(Message.Builder builder, String path, Set<FieldDescriptor> seen) throws IOException {
        String name = parser.currentName();
        Place place = here(join(path, name));
        FieldDescriptor field = fields(builder.getDescriptorForType()).get(name);
        parser.nextToken();
        if (field == null) {
            String known =
                    String.join(", ", fields(builder.getDescriptorForType()).keySet());
            faults.add(place, Problem.UNKNOWN_FIELD, "", known);
            parser.skipChildren();
        } else if (!seen.add(field)) {
            faults.add(place, Problem.DUPLICATE_FIELD, "", "");
            parser.skipChildren();
        } else {
            readFieldValue(builder, field, place.path());
        }
    }

    private void readFieldValue(Message.Builder builder, FieldDescriptor field, String path) throws IOException {
        if (field.isMapField()) {
            readMap(builder, field, path);
        } else if (field.isRepeated()) {
            readList(builder, field, path);
        } else {
            Object value = readValue(builder, field, path);
            if (value != null) {
                builder.setField(field, value);
            }
        }
    }

    private void readList(Message.Builder builder, FieldDescriptor field, String path) throws IOException {
        Place place = here(path);
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            faults.add(place, Problem.WRONG_TYPE, "", "[ ]");
            parser.skipChildren();
            return;
        }
        UniqueNames names = new UniqueNames(field, faults);
        int count = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Place entry = here(path + "[" + count + "]");
            Object value = readValue(builder, field, entry.path());
            if (value != null) {
                builder.addRepeatedField(field, value);
                names.check(value, entry);
            }
            count++;
        }
        FieldRules.checkCount(field, count, place, faults);
    }

    private void readMap(Message.Builder builder, FieldDescriptor field, String path) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            faults.add(here(path), Problem.WRONG_TYPE, "", "{ }");
            parser.skipChildren();
            return;
        }
        Descriptor entryType = field.getMessageType();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            parser.nextToken();
            Message.Builder entry = builder.newBuilderForField(field);
            Object value = readValue(entry, entryType.findFieldByName("value"), join(path, key));
            if (value != null) {
                entry.setField(entryType.findFieldByName("key"), key);
                entry.setField(entryType.findFieldByName("value"), value);
                builder.addRepeatedField(field, entry.build());
            }
        }
    }

    private Object readValue(Message.Builder builder, FieldDescriptor field, String path) throws IOException {
        if (field.getJavaType() != FieldDescriptor.JavaType.MESSAGE) {
            return JsonScalars.read(parser, field, here(path), faults);
        }
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            faults.add(here(path), Problem.WRONG_TYPE, "", FieldRules.allowed(field));
            parser.skipChildren();
            return null;
        }
        Message.Builder part = builder.newBuilderForField(field);
        readObject(part, path);
        return part.build();
    }

    private void reportMissing(Message.Builder builder, Place start, Set<FieldDescriptor> seen) {
        for (FieldDescriptor field : builder.getDescriptorForType().getFields()) {
            if (seen.contains(field)) {
                continue;
            }
            Place place = new Place(join(start.path(), field.getJsonName()), start.line(), start.column());
            if (FieldRules.of(field).getRequired()) {
                faults.add(place, Problem.MISSING, "", FieldRules.allowed(field));
            } else if (field.isRepeated()) {
                FieldRules.checkCount(field, 0, place, faults);
            }
        }
    }

    private Map<String, FieldDescriptor> fields(Descriptor type) {
        return fieldsByName.computeIfAbsent(type, JsonMessageReader::byJsonName);
    }

    private static Map<String, FieldDescriptor> byJsonName(Descriptor type) {
        return type.getFields().stream()
                .collect(Collectors.toMap(
                        FieldDescriptor::getJsonName, field -> field, (first, second) -> first, LinkedHashMap::new));
    }

    private Place here(String path) {
        return Place.of(path, parser.currentTokenLocation());
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
