package org.whinwharf.schema.internal;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.HashSet;
import java.util.Set;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.internal.FaultCollector.Place;

/** Reports entries of one list that share the name by which they must differ. */
final class UniqueNames {
    private final FieldDescriptor key;
    private final FaultCollector faults;
    private final Set<Object> taken = new HashSet<>();

    /**
     * Begins a list.
     *
     * @param list repeated field of the schema
     * @param faults where faults go
     */
    UniqueNames(FieldDescriptor list, FaultCollector faults) {
        String name = FieldRules.of(list).getUniqueBy();
        this.key = name.isEmpty() ? null : list.getMessageType().findFieldByName(name);
        this.faults = faults;
    }

    /**
     * Takes the next entry of the list.
     *
     * @param entry the entry
     * @param place its place
     */
    void check(Object entry, Place place) {
        if (key == null) {
            return;
        }
        Object name = ((Message) entry).getField(key);
        if (!name.equals(key.getDefaultValue()) && !taken.add(name)) {
            Place keyPlace = new Place(place.path() + "." + key.getJsonName(), place.line(), place.column());
            faults.add(keyPlace, Problem.NOT_UNIQUE, name.toString(), "");
        }
    }
}
