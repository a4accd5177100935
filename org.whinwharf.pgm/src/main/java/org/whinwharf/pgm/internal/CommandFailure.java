package org.whinwharf.pgm.internal;

import java.util.List;
import org.whinwharf.pgm.OperatorExit;

/** Ends a command early; the message is for people. */
public final class CommandFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final OperatorExit exit;
    private final List<String> lines;

    /**
     * Makes a failure.
     *
     * @param exit exit code
     * @param lines what to print, a line each
     */
    public CommandFailure(OperatorExit exit, List<String> lines) {
        super(String.join("; ", lines));
        this.exit = exit;
        this.lines = List.copyOf(lines);
    }

    /**
     * Makes a failure of one line.
     *
     * @param exit exit code
     * @param line what to print
     */
    public CommandFailure(OperatorExit exit, String line) {
        this(exit, List.of(line));
    }

    /**
     * Returns the exit code.
     *
     * @return exit code
     */
    public OperatorExit exit() {
        return exit;
    }

    /**
     * Returns what to print.
     *
     * @return lines
     */
    public List<String> lines() {
        return lines;
    }
}
