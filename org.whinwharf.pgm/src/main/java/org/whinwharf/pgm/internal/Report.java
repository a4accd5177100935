package org.whinwharf.pgm.internal;

import java.util.List;

/** Result of a command. Its components are the JSON form for programs. */
public interface Report {
    /**
     * Returns the result for people.
     *
     * @return lines of text
     */
    List<String> lines();
}
