package org.whinwharf.home;

import java.util.Locale;

/** Steps of a request that a home records. */
public enum HomeNote {
    /** Accepted by this home. */
    ACCEPTED,
    /** A repeated submission joined the first attempt. */
    JOINED,
    /** Queued at an owner. */
    ENQUEUED,
    /** No slice owner is connected; placement is retried shortly. */
    UNPLACED,
    /** An owner refused the request. */
    REFUSED,
    /** An owner granted a slot. */
    GRANTED,
    /** A grant was returned unused. */
    GRANT_RETURNED,
    /** Handed to the network. */
    SENT,
    /** The first token arrived. */
    FIRST_TOKEN,
    /** The connection to the target broke; the stream is resumed. */
    RESUMED,
    /** The last caller of the request disconnected. */
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
