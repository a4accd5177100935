package org.whinwharf.home;

import java.util.Locale;

/** Closed list of what a home records about a request. */
public enum HomeNote {
    /** Taken on by this home. */
    ACCEPTED,
    /** A repeat joined the first attempt. */
    JOINED,
    /** Queued at an owner. */
    ENQUEUED,
    /** No owner could be asked; asked again shortly. */
    UNPLACED,
    /** An owner refused it. */
    REFUSED,
    /** An owner granted a slot. */
    GRANTED,
    /** A grant was returned unused. */
    GRANT_RETURNED,
    /** Given to the network. */
    SENT,
    /** The first token arrived. */
    FIRST_TOKEN,
    /** The connection to the target broke; the stream is resumed. */
    RESUMED,
    /** Its last caller went away. */
    CALLERS_GONE,
    /** Ended. */
    ENDED;

    /**
     * Returns the name that logs and explanations show.
     *
     * @return name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
