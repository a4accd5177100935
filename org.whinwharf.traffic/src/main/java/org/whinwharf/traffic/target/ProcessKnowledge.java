package org.whinwharf.traffic.target;

/** What is known of the process at the other end of a connection to a target. */
public enum ProcessKnowledge {
    /** It is the process that the target's entry named when the connection was established. */
    CONFIRMED(true),
    /** Nothing can be known, since targets of the service state nothing of their processes but when they start. */
    PRESUMED(true),
    /** It may be another process, which has started under the id and address of the target and is not published yet. */
    UNCONFIRMED(false),
    /** Another process has started under the id and address of the target since; which of the two it was is unknown. */
    REPLACED(false);

    private final boolean publishedVersion;

    ProcessKnowledge(boolean publishedVersion) {
        this.publishedVersion = publishedVersion;
    }

    /**
     * Tells whether the process counts as one of the version that the entry named.
     *
     * @return false if its version is unknown
     */
    public boolean publishedVersion() {
        return publishedVersion;
    }
}
