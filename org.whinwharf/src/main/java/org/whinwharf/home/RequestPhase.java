package org.whinwharf.home;

/** Phase of a request at its home. A request goes back to {@link #WAITING} only when nothing of it was sent. */
public enum RequestPhase {
    /** Waits until an owner grants a slot. */
    WAITING("waiting"),
    /** Granted and handed to the sender; its send gate tells whether it was sent. */
    GRANTED("waiting"),
    /** Handed to the network. */
    SENT("running"),
    /** The target sends its answer. */
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
