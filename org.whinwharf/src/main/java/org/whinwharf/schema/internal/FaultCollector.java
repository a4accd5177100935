package org.whinwharf.schema.internal;

import com.fasterxml.jackson.core.JsonLocation;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.Problem;

/** Gathers faults of one file. */
public final class FaultCollector {
    private final String file;
    private final List<Fault> faults = new ArrayList<>();

    /**
     * Makes an empty collector.
     *
     * @param file name that the faults carry
     */
    public FaultCollector(String file) {
        this.file = file;
    }

    /**
     * Adds a fault.
     *
     * @param place place of the value
     * @param problem what is wrong
     * @param found what was found; empty for nothing to show
     * @param allowed what would be allowed; empty when the problem says it
     */
    public void add(Place place, Problem problem, String found, String allowed) {
        faults.add(new Fault(file, place.line(), place.column(), place.path(), problem, found, allowed));
    }

    /**
     * Returns what was gathered.
     *
     * @return faults in the order in which they were added
     */
    public List<Fault> all() {
        return List.copyOf(faults);
    }

    /**
     * Place of a value.
     *
     * @param path path of the field
     * @param line line from 1; 0 for none
     * @param column column from 1; 0 for none
     */
    public record Place(String path, int line, int column) {
        /**
         * Makes a place without a line.
         *
         * @param path path of the field
         * @return place
         */
        public static Place of(String path) {
            return new Place(path, 0, 0);
        }

        /**
         * Makes a place in a text.
         *
         * @param path path of the field
         * @param location location in the text
         * @return place
         */
        public static Place of(String path, JsonLocation location) {
            return new Place(path, location.getLineNr(), location.getColumnNr());
        }
    }
}
