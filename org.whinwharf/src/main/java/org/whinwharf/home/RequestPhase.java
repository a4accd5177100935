package org.whinwharf.home;

/** Phase of a request at its home. A request only moves on, but for a grant that is returned unused. */
public enum RequestPhase {
    /** Not to be sent before an owner grants a slot. */
    WAITING("waiting"),
    /** Granted and handed to the sender; its gate says whether it left. */
    GRANTED("waiting"),
    /** Given to the network. */
    SENT("running"),
    /** The target answers. */
    STREAMING("running"),
    /** Ended, with an outcome. */
    ENDED("ended");

    private final String wireName;

    RequestPhase(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name that callers see.
     *
     * @return name in lower case
     */
    public String wireName() {
        return wireName;
    }

    boolean isBeforeSending() {
        return this == WAITING || this == GRANTED;
    }
}
