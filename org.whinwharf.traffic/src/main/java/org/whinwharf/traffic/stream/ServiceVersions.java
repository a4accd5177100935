package org.whinwharf.traffic.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions that the published targets of each service have had lately. A service that has had one version
 * only, for longer than callers follow a stream, leaves no doubt about the version that began a stream.
 */
public final class ServiceVersions {
    /** A process that serves in place of the one that its target's entry names. */
    private record UnpublishedProcess(String targetId, long startedUnixMillis) {}

    private final Map<String, Map<String, Long>> lastSeenAtMillis = new HashMap<>();
    /** Processes of unknown version, with the time at which they were last seen, by service. */
    private final Map<String, Map<UnpublishedProcess, Long>> unpublished = new HashMap<>();

    /**
     * Records that a target of a service is published with a version.
     *
     * @param service name of the service
     * @param version software version
     * @param nowMillis monotonic time in milliseconds
     */
    public void seen(String service, String version, long nowMillis) {
        lastSeenAtMillis.computeIfAbsent(service, name -> new HashMap<>()).merge(version, nowMillis, Math::max);
    }

    /**
     * Records that a target of a service is another process than the one that is published, so that its version is not
     * known.
     *
     * @param service name of the service
     * @param targetId id of the target
     * @param startedUnixMillis start that the process states, in Unix milliseconds
     * @param nowMillis monotonic time in milliseconds
     */
    public void seenUnpublished(String service, String targetId, long startedUnixMillis, long nowMillis) {
        unpublished
                .computeIfAbsent(service, name -> new HashMap<>())
                .put(new UnpublishedProcess(targetId, startedUnixMillis), nowMillis);
    }

    /**
     * Records that a process of a service is published, so that its version is known.
     *
     * @param service name of the service
     * @param targetId id of the target
     * @param startedUnixMillis start of the process, in Unix milliseconds
     */
    public void published(String service, String targetId, long startedUnixMillis) {
        Map<UnpublishedProcess, Long> processes = unpublished.get(service);
        if (processes != null) {
            processes.remove(new UnpublishedProcess(targetId, startedUnixMillis));
        }
    }

    /**
     * Tells whether a target of a service has been published with a version.
     *
     * @param service name of the service
     * @param version software version
     * @return false if it was not seen lately
     */
    public boolean hasSeen(String service, String version) {
        return lastSeenAtMillis.getOrDefault(service, Map.of()).containsKey(version);
    }

    /**
     * Returns the only version that targets of a service have had.
     *
     * @param service name of the service
     * @param nowMillis monotonic time in milliseconds
     * @return version; empty if there were none or several within {@link StreamOrigins#RETENTION_MILLIS}
     */
    public Optional<String> onlyVersion(String service, long nowMillis) {
        return onlyVersion(service, nowMillis, StreamOrigins.RETENTION_MILLIS);
    }

    /**
     * Returns the only version that targets of a service have had lately.
     *
     * @param service name of the service
     * @param nowMillis monotonic time in milliseconds
     * @param spanMillis time up to now in milliseconds, at most {@link StreamOrigins#RETENTION_MILLIS}
     * @return version; empty if there were none or several within that time, or a process of unknown version
     */
    public Optional<String> onlyVersion(String service, long nowMillis, long spanMillis) {
        Map<String, Long> versions = lastSeenAtMillis.get(service);
        if (versions == null) {
            return Optional.empty();
        }
        versions.values().removeIf(atMillis -> nowMillis - atMillis > StreamOrigins.RETENTION_MILLIS);
        if (seenUnpublishedWithin(service, nowMillis, spanMillis)) {
            return Optional.empty();
        }
        List<String> within = versions.entrySet().stream()
                .filter(seen -> nowMillis - seen.getValue() <= spanMillis)
                .map(Map.Entry::getKey)
                .toList();
        return within.size() == 1 ? Optional.of(within.get(0)) : Optional.empty();
    }

    private boolean seenUnpublishedWithin(String service, long nowMillis, long spanMillis) {
        Map<UnpublishedProcess, Long> processes = unpublished.get(service);
        if (processes == null) {
            return false;
        }
        processes.values().removeIf(atMillis -> nowMillis - atMillis > StreamOrigins.RETENTION_MILLIS);
        return processes.values().stream().anyMatch(atMillis -> nowMillis - atMillis <= spanMillis);
    }
}
