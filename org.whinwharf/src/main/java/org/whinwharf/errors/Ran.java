package org.whinwharf.errors;

/** Whether a request ran at a target, as far as is known. */
public enum Ran {
    /** The request ran, possibly only in part. */
    RAN("ran"),
    /** The request did not run and never will. */
    NOT_RUN("not-run"),
    /** No reachable process knows whether the request ran. */
    UNKNOWN("unknown");

    private final String wireName;

    Ran(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name that is reported to callers.
     *
     * @return name in lower case, such as {@code not-run}
     */
    public String wireName() {
        return wireName;
    }
}
