package org.whinwharf.schema;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinwharf.schema.internal.JsonText;

/**
 * Finds the lines of fields in JSON text.
 *
 * <p>The text is read again for the faults that need it, so that a valid document of many organisations costs no table
 * of places.
 */
public final class Positions {
    private final Set<String> wanted;
    private final Map<String, JsonLocation> found = new HashMap<>();

    private Positions(Set<String> wanted) {
        this.wanted = wanted;
    }

    /**
     * Gives faults the places of their fields.
     *
     * @param faults faults without places
     * @param json text that they were found in
     * @return the faults, each at its field or, where the field is absent, at the nearest object around it
     */
    public static List<Fault> locate(List<Fault> faults, String json) {
        Set<String> wanted = new HashSet<>();
        for (Fault fault : faults) {
            for (String path = fault.path(); !path.isEmpty(); path = parent(path)) {
                wanted.add(path);
            }
        }
        Positions positions = new Positions(wanted);
        positions.scan(json);
        return faults.stream().map(positions::place).toList();
    }

    private Fault place(Fault fault) {
        for (String path = fault.path(); ; path = parent(path)) {
            JsonLocation location = found.get(path);
            if (location != null) {
                return fault.at(location.getLineNr(), location.getColumnNr());
            }
            if (path.isEmpty()) {
                return fault;
            }
        }
    }

    private void scan(String json) {
        try (JsonParser parser = JsonText.parser(json)) {
            parser.nextToken();
            value(parser, "");
        } catch (IOException e) {
            // The text was read once before; behind a syntax error faults keep the nearest place found so far.
            found.putIfAbsent("", JsonLocation.NA);
        }
    }

    private void value(JsonParser parser, String path) throws IOException {
        if (path.isEmpty() || wanted.contains(path)) {
            found.putIfAbsent(path, parser.currentTokenLocation());
        } else {
            parser.skipChildren();
            return;
        }
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            object(parser, path);
        } else if (parser.currentToken() == JsonToken.START_ARRAY) {
            array(parser, path);
        }
    }

    private void object(JsonParser parser, String path) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            value(parser, path.isEmpty() ? name : path + "." + name);
        }
    }

    private void array(JsonParser parser, String path) throws IOException {
        for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
            value(parser, path + "[" + i + "]");
        }
    }

    private static String parent(String path) {
        int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
        return end < 0 ? "" : path.substring(0, end);
    }
}
