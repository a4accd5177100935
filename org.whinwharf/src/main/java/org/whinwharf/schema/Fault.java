package org.whinwharf.schema;

import org.whinwharf.text.Text;

/**
 * One thing that is wrong with a settings file or a document.
 *
 * @param file name of the file, or of the source that published it
 * @param line line from 1; 0 when the form has no lines or the fault has no place
 * @param column column from 1; 0 as for the line
 * @param path path of the field, such as {@code services[1].models[0]}; empty for the whole
 * @param problem what is wrong
 * @param found what was found; empty when there is nothing to show or it is secret
 * @param allowed what would be allowed; empty when the problem says it
 */
public record Fault(String file, int line, int column, String path, Problem problem, String found, String allowed) {
    private static final String BUNDLE = "org.whinwharf.schema.Faults";

    /**
     * Describes the fault in one line: place, path, problem, and what is allowed.
     *
     * @return text for people
     */
    public String text() {
        String place = line > 0 ? file + ":" + line + ":" + column : file;
        String where = path.isEmpty() ? place : place + ": " + path;
        String what = where + ": " + problem.text(found);
        return allowed.isEmpty() ? what : what + "; " + Text.from(BUNDLE, "allowed", allowed);
    }

    /**
     * Returns this fault at another place.
     *
     * @param newLine line from 1
     * @param newColumn column from 1
     * @return fault that differs in its place only
     */
    public Fault at(int newLine, int newColumn) {
        return new Fault(file, newLine, newColumn, path, problem, found, allowed);
    }
}
