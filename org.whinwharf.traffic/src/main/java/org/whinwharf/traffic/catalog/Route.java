package org.whinwharf.traffic.catalog;

import java.util.List;
import java.util.Optional;
import org.immutables.value.Value;

/** One route of the catalog. */
@Value.Immutable
public interface Route {
    /** Odd multiplier close to 2^64 divided by the golden ratio; spreads neighbouring hash codes over all bits. */
    long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    /** Number of significant bits that a double represents exactly. */
    int DOUBLE_PRECISION_BITS = 53;
    /** Low-order bits of a long that do not fit into a double. */
    int DISCARDED_BITS = 64 - DOUBLE_PRECISION_BITS;

    /**
     * Returns the route's name.
     *
     * @return name, unique in a catalog
     */
    String name();

    /**
     * Returns the host name that the route matches.
     *
     * @return host name in lower case, without port
     */
    String hostName();

    /**
     * Returns the path prefix that the route matches.
     *
     * @return prefix that begins and ends with a slash
     */
    String pathPrefix();

    /**
     * Returns the kind of its requests.
     *
     * @return kind
     */
    RouteKind kind();

    /**
     * Returns the services that receive its requests.
     *
     * @return one or more services with weights
     */
    List<ServiceWeight> services();

    /**
     * Returns the time limit for a complete answer.
     *
     * @return time in milliseconds, above 0
     */
    long timeoutMillis();

    /**
     * Returns the latency objective: the target time to the answer, or to the first event of a stream.
     *
     * @return time in milliseconds, above 0
     */
    long latencyObjectiveMillis();

    /**
     * Returns the tier rank of its requests.
     *
     * @return rank; 0 is served first
     */
    int tierRank();

    /**
     * Returns the maximum number of targets to which one request is dispatched.
     *
     * @return attempts, 1 or more
     */
    int maxAttempts();

    /**
     * Returns whether requests need no key.
     *
     * @return true when no key is required
     */
    boolean publicAccess();

    /**
     * Returns whether its streams can be resumed on another target.
     *
     * @return true when they can
     */
    boolean resumable();

    /**
     * Returns the maximum pause between events of a stream that meets the objective.
     *
     * @return time in milliseconds; 0 when the route sets none
     */
    long gapObjectiveMillis();

    /**
     * Returns whether a request may be executed more than once.
     *
     * @return true when a second execution is allowed
     */
    default boolean idempotent() {
        return kind().idempotent(resumable());
    }

    /**
     * Tells whether requests of the route may be handled by a service.
     *
     * @param service name of the service
     * @return true if it is one of the route's services
     */
    default boolean leadsTo(String service) {
        return services().stream().anyMatch(weighted -> weighted.service().equals(service));
    }

    /**
     * Returns the service that handles all requests of the route.
     *
     * @return name of the service; empty if several share the requests
     */
    default Optional<String> onlyService() {
        return services().size() == 1 ? Optional.of(services().get(0).service()) : Optional.empty();
    }

    /**
     * Selects the service of a request according to the weights. Every attempt of a request selects the same service.
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
