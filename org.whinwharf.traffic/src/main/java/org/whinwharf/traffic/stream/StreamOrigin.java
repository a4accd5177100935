package org.whinwharf.traffic.stream;

import java.util.Optional;
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
     * @return version; empty if it may be another process of the target that began the stream
     */
    String version();

    /**
     * Returns the process of which the version is, while it is not known whether that process began the stream.
     *
     * @return process; empty if the version is that of the process that began the stream
     */
    Optional<OriginProcess> unconfirmedProcess();

    /**
     * Returns when an event of the stream was last known to come from that version.
     *
     * @return monotonic time of this process in milliseconds
     */
    long recordedAtMillis();

    /**
     * Tells whether the version is known.
     *
     * @return false if it may be another one
     */
    default boolean versionKnown() {
        return !version().isEmpty();
    }
}
