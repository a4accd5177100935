package org.whinwharf.traffic.catalog;

import java.util.List;
import org.immutables.value.Value;

/** One route of the catalog. */
@Value.Immutable
public interface Route {
    /**
     * Returns the route's name.
     *
     * @return name, unique in a catalog
     */
    String name();

    /**
     * Returns the host name whose requests it takes.
     *
     * @return host name in lower case, without port
     */
    String hostName();

    /**
     * Returns the beginning of the paths it takes.
     *
     * @return path prefix that begins and ends with a slash
     */
    String pathPrefix();

    /**
     * Returns what its requests are.
     *
     * @return kind
     */
    RouteKind kind();

    /**
     * Returns the services that its requests go to.
     *
     * @return one or more services with weights
     */
    List<ServiceWeight> services();

    /**
     * Returns the longest time a caller is kept waiting for the whole answer.
     *
     * @return time in milliseconds, above 0
     */
    long timeoutMillis();

    /**
     * Returns the latency objective up to the answer, or to the first event of a stream.
     *
     * @return time in milliseconds, above 0
     */
    long objectiveMillis();

    /**
     * Returns the rank of its requests.
     *
     * @return rank; 0 is served first
     */
    int tierRank();

    /**
     * Returns the most targets that one request may be sent to.
     *
     * @return attempts, 1 or more
     */
    int attempts();

    /**
     * Tells whether requests need no key.
     *
     * @return true when no key is asked for
     */
    boolean publicAccess();

    /**
     * Tells whether its streams can be resumed at another target.
     *
     * @return true when they can
     */
    boolean resumable();

    /**
     * Returns the longest pause between events for which a stream is on time.
     *
     * @return time in milliseconds; 0 when the route names none
     */
    long gapObjectiveMillis();

    /**
     * Tells whether a request may run again.
     *
     * @return true when a second run is allowed
     */
    default boolean idempotent() {
        return kind().idempotent(resumable());
    }
}
