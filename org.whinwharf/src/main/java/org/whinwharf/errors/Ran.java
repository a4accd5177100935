package org.whinwharf.errors;

/** What is known of whether a request ran at a target. */
public enum Ran {
    /** The request ran, perhaps in part. */
    RAN("ran"),
    /** The request did not run and never will. */
    NOT_RUN("not-run"),
    /** Nobody who could be asked knows. */
    UNKNOWN("unknown");

    private final String wireName;

    Ran(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name that callers see.
     *
     * @return name in lower case, such as {@code not-run}
     */
    public String wireName() {
        return wireName;
    }
}
