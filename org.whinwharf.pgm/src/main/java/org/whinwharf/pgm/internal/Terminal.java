package org.whinwharf.pgm.internal;

import java.io.InputStream;
import java.io.PrintStream;

/**
 * Where a command reads and writes.
 *
 * @param in input
 * @param out results
 * @param err faults and progress
 */
public record Terminal(InputStream in, PrintStream out, PrintStream err) {
    /**
     * Returns the terminal of this process.
     *
     * @return standard streams
     */
    public static Terminal system() {
        return new Terminal(System.in, System.out, System.err);
    }
}
