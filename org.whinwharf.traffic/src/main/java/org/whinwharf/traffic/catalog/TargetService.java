package org.whinwharf.traffic.catalog;

import org.immutables.value.Value;

/** One service: a group of targets that answer the same requests. */
@Value.Immutable
public interface TargetService {
    /**
     * Returns the service's name.
     *
     * @return name, unique in a catalog
     */
    String name();

    /**
     * Returns the path of the health check on its targets.
     *
     * @return path that begins with a slash
     */
    String healthPath();

    /**
     * Returns the maximum number of connections that one of its targets accepts from all processes together.
     *
     * @return connections, above 0
     */
    int maxConnections();

    /**
     * Returns how long a target stays cold after its start.
     *
     * @return time in milliseconds; 0 when its targets are never cold
     */
    long coldStartMillis();

    /**
     * Returns the request rate that a cold target sustains, summed over all processes.
     *
     * @return requests per second; 0 when its targets are never cold
     */
    double coldRequestsPerSecond();

    /**
     * Returns whether its targets are model engines.
     *
     * @return true for engines, false for plain services
     */
    boolean engine();
}
