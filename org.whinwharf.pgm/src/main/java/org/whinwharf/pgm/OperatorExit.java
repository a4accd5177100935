package org.whinwharf.pgm;

/** Exit codes of the commands; those up to 3 mean the same as in the daemons. */
public enum OperatorExit {
    /** The command did what was asked, and there is nothing to warn of. */
    OK(0),
    /** The command failed for another reason than those below. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The settings are wrong; every fault was printed. */
    SETTINGS(3),
    /** A document has faults; every fault was printed. */
    FAULTS(10),
    /** A difference between two documents is risky. */
    RISKY(11),
    /** A host or service of the platform that had to be asked did not answer. */
    UNREACHABLE(12),
    /** The request was turned away or failed, as the answer says. */
    REFUSED(13),
    /** Nobody who could be asked knows whether the request ran. */
    UNKNOWN_OUTCOME(14),
    /** No trace of the request was found where it should be. */
    NOT_FOUND(15);

    private final int code;

    OperatorExit(int code) {
        this.code = code;
    }

    /**
     * Returns the number for the operating system.
     *
     * @return exit code
     */
    public int code() {
        return code;
    }
}
