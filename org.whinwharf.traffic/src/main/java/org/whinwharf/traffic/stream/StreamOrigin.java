package org.whinwharf.traffic.stream;

import org.immutables.value.Value;

/** Where a stream began: the service and the software version of the target that sent its first event. */
@Value.Immutable
public interface StreamOrigin {
    /**
     * Returns the stream.
     *
     * @return key
     */
    StreamKey key();

    /**
     * Returns the service of the target.
     *
     * @return name of the service
     */
    String service();

    /**
     * Returns the software version of the target.
     *
     * @return version; empty if the target restarted with another version at about that time, so that either is
     *     possible
     */
    String version();

    /**
     * Returns when an event of the stream was last known to come from that version.
     *
     * @return monotonic time of this process in milliseconds
     */
    long recordedAtMillis();

    /**
     * Tells whether the version is known.
     *
     * @return false if it is ambiguous
     */
    default boolean versionKnown() {
        return !version().isEmpty();
    }
}
