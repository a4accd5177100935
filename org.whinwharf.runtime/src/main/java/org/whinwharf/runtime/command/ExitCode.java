package org.whinwharf.runtime.command;

/** Exit codes of the daemons. */
public enum ExitCode {
    /** The daemon stopped as asked, or help or version was printed. */
    OK(0),
    /** The daemon failed for another reason than those below. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The settings are wrong; every fault was printed and no port was opened. */
    SETTINGS(3),
    /** A port or address of the settings could not be used. */
    ADDRESS(4),
    /** The daemon stopped as asked, but work was still in flight when the bound on draining had passed. */
    DRAIN_TIMEOUT(5);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the number for the operating system.
     *
     * @return number from 0 to 5
     */
    public int code() {
        return code;
    }
}
