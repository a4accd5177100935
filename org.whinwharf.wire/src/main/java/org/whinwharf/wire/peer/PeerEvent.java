package org.whinwharf.wire.peer;

import java.util.Locale;

/** Events that a peer network counts. */
public enum PeerEvent {
    /** A connection was accepted. */
    ACCEPTED,
    /** An outbound connection was established. */
    CONNECTED,
    /** An outbound connection could not be established. */
    CONNECT_FAILED,
    /** A link came up: both sides have completed the hello handshake. */
    LINK_UP,
    /** A link went down. */
    LINK_DOWN,
    /** A connection was closed because its address or hello does not match the published host list. */
    UNLISTED,
    /** A connection was closed because the process that answered is not the expected peer. */
    WRONG_PEER,
    /** A connection was closed because the remote process uses another protocol version. */
    PROTOCOL_MISMATCH,
    /** A connection was closed because the connection limit was reached. */
    TOO_MANY_CONNECTIONS,
    /** A connection was closed because a frame could not be parsed. */
    MALFORMED,
    /** A connection was closed because a frame exceeded the size limit. */
    OVERSIZED,
    /** A connection was closed because a frame was of an unknown kind or out of order. */
    UNKNOWN_FRAME,
    /** A connection was closed because no complete frame arrived within the idle timeout. */
    IDLE,
    /** A connection was closed because the socket or the listener failed. */
    LINK_FAILED,
    /** A frame was not queued because the link was down or its queue was full. */
    SEND_REFUSED,
    /** A frame was not queued because it exceeds the size limit. */
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
     * Returns the name of the event in metrics.
     *
     * @return name in lower case, such as {@code frames_in}
     */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
