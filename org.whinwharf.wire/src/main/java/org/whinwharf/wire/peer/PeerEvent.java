package org.whinwharf.wire.peer;

import java.util.Locale;

/** What a peer network counts. */
public enum PeerEvent {
    /** A connection was accepted. */
    ACCEPTED,
    /** A connection of our own was made. */
    CONNECTED,
    /** A connection of our own could not be made. */
    CONNECT_FAILED,
    /** A link came up: both sides have said hello. */
    LINK_UP,
    /** A link went down. */
    LINK_DOWN,
    /** A connection was closed because its address or hello does not match the published host list. */
    UNLISTED,
    /** A connection was closed because another process answered than the one that was called. */
    WRONG_PEER,
    /** A connection was closed because the other side speaks another protocol version. */
    PROTOCOL_MISMATCH,
    /** A connection was closed because there were too many. */
    TOO_MANY_CONNECTIONS,
    /** A connection was closed because of a frame that could not be parsed. */
    MALFORMED,
    /** A connection was closed because of a frame above the size limit. */
    OVERSIZED,
    /** A connection was closed because of a frame of an unknown kind or out of order. */
    UNKNOWN_FRAME,
    /** A connection was closed because nothing was heard in time. */
    IDLE,
    /** A connection was closed because of a failure of the socket or of the listener. */
    LINK_FAILED,
    /** A frame was not queued because the link was down or its queue full. */
    SEND_REFUSED,
    /** A frame was not queued because it is above the size limit. */
    SEND_OVERSIZED,
    /** A frame was received. */
    FRAMES_IN,
    /** A frame was queued. */
    FRAMES_OUT,
    /** Bytes received, length prefixes included. */
    BYTES_IN,
    /** Bytes queued, length prefixes included. */
    BYTES_OUT;

    /**
     * Returns the name that metrics use.
     *
     * @return name in lower case, such as {@code frames_in}
     */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
