package org.whinwharf.traffic.stream;

import java.util.Set;
import org.immutables.value.Value;

/** What the publishing service still knows of the targets that were published before a process started. */
@Value.Immutable
public interface TargetHistory {
    /**
     * A version that targets of a service had.
     *
     * @param service name of the service
     * @param version software version
     */
    record PublishedVersion(String service, String version) {}

    /**
     * Returns the versions under which targets were published.
     *
     * @return services with versions
     */
    Set<PublishedVersion> versions();

    /**
     * Returns how far back the history is complete: every target that was published since then is published still or
     * among {@link #versions()}.
     *
     * @return time in milliseconds; 0 if a target left of which nothing else is known
     */
    long reachMillis();
}
