package org.whinwharf.traffic.catalog;

import java.util.List;
import org.immutables.value.Value;

/** One route of the catalog. */
@Value.Immutable
public interface Route {
    /** Odd factor close to the golden ratio of 2^64, which spreads neighbouring hash codes over all bits. */
    long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    /** Bits of a number that a double holds exactly. */
    int DOUBLE_PRECISION_BITS = 53;
    /** Bits of a long beyond these. */
    int DISCARDED_BITS = 64 - DOUBLE_PRECISION_BITS;

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
    long latencyObjectiveMillis();

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
    int maxAttempts();

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

    /**
     * Picks the service of one request by the weights; the same request always goes to the same one.
     *
     * @param attemptId id of the request
     * @return name of the service
     */
    default String selectService(String attemptId) {
        double total = services().stream().mapToDouble(ServiceWeight::weight).sum();
        double point = (attemptId.hashCode() * HASH_MULTIPLIER >>> DISCARDED_BITS)
                / (double) (1L << DOUBLE_PRECISION_BITS)
                * total;
        for (ServiceWeight service : services()) {
            point -= service.weight();
            if (point < 0) {
                return service.service();
            }
        }
        return services().get(services().size() - 1).service();
    }
}
