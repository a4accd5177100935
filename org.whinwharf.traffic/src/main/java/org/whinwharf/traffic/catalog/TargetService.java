package org.whinwharf.traffic.catalog;

import org.immutables.value.Value;

/** One service: targets that answer the same requests. */
@Value.Immutable
public interface TargetService {
    /**
     * Returns the service's name.
     *
     * @return name, unique in a catalog
     */
    String name();

    /**
     * Returns the path of its targets' health check.
     *
     * @return path that begins with a slash
     */
    String healthPath();

    /**
     * Returns the most connections one of its targets accepts from all processes together.
     *
     * @return connections, above 0
     */
    int maxConnections();

    /**
     * Returns how long a started target stays cold.
     *
     * @return time in milliseconds; 0 when its targets are never cold
     */
    long coldStartMillis();

    /**
     * Returns the requests a second that a cold target bears from all processes together.
     *
     * @return rate; 0 when its targets are never cold
     */
    double coldRequestsPerSecond();

    /**
     * Tells whether its targets are model engines.
     *
     * @return true for engines, false for plain services
     */
    boolean engine();
}
