package org.whinwharf.traffic.stream;

import java.util.Map;
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
     * Returns the targets whose changes the history shows.
     *
     * @return ids; what ran under them before is known, or else among {@link #unexplainedStarts()}
     */
    Set<String> targetIds();

    /**
     * Returns the latest start of a target of each service of which the history does not show what ran under its id
     * before.
     *
     * @return Unix times in milliseconds by name of the service; 0 if a target does not say when it started
     */
    Map<String, Long> unexplainedStarts();

    /**
     * Returns how far back the history is complete: every target that was published since then is published still or
     * among {@link #versions()}, and the first catalog that this process read was in force all the while.
     *
     * @return time in milliseconds; 0 if a target left of which nothing else is known, or another catalog may have been
     *     in force
     */
    long reachMillis();
}
